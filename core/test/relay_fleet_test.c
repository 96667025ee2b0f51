/*
 * The load that a whole fleet puts on the store when its nodes start, when the
 * store or the readers fail, and how long a node stays without news. Each row
 * is a pattern; the nodes choose their sources by relay_sources in virtual
 * time.
 */
#include <core/relay_sources.h>
#include <fakes/test_main.h>

#define NODE_COUNT_MAX 710
#define ZONE_COUNT 10
#define LINK_MBPS_MAX 1000
#define STEP_MS 10
#define TICK_MS 500
#define SWITCH_AGE_MS 1000
#define WATCH_MS 1000
#define PEER_WATCH_TIMEOUT_MS 1500
#define PEER_FIRST_TIMEOUT_MS 300
#define RELAY_GRACE_MS 700
#define SEED_COUNT 3
#define START_SPREAD_MS 300

/* A process reads its settings and opens its sockets before it first reads. */
#define START_MS 50

/* The entries of nodes that start together are listed after this time. */
#define LISTED_MS 2000

enum pattern {
	/* All start at once, as listed before, or for the first time. */
	HERD_START,
	FIRST_START,
	/* At FAULT_MS, until FAULT_END_MS unless they are gone. */
	STORE_AWAY,
	READERS_REFUSED,
	READERS_LOSE_POWER,
	HALF_LOSES_POWER,
};

#define FAULT_MS 6000
#define FAULT_END_MS 11000
#define END_MS 20000

/*
 * store_calls_max bounds the calls to the store in 20 s, of which the two
 * readers make 40 in quiet times. outage_max_ms bounds the time that a node
 * with power is without news while some node that it reaches has them.
 */
static const struct {
	const char *name;
	enum pattern pattern;
	uint32_t node_count;
	uint32_t store_calls_max;
	int64_t outage_max_ms;
} rows[] = {
	{"small-fleet-starts", FIRST_START, 9, 80, 2000},
	{"small-fleet-loses-power", HERD_START, 9, 80, 2000},
	{"small-fleet-readers-refused", READERS_REFUSED, 9, 160, 2500},
	{"fleet-starts", FIRST_START, 295, 150, 3000},
	{"fleet-loses-power", HERD_START, 295, 150, 3000},
	{"fleet-store-away", STORE_AWAY, 295, 300, 3000},
	{"fleet-readers-refused", READERS_REFUSED, 295, 300, 3000},
	{"fleet-readers-lose-power", READERS_LOSE_POWER, 295, 150, 3000},
	{"fleet-half-loses-power", HALF_LOSES_POWER, 295, 300, 3500},
	{"large-fleet-starts", FIRST_START, 710, 200, 3000},
	{"large-fleet-store-away", STORE_AWAY, 710, 600, 3000},
};

struct fleet_node {
	struct relay_sources *sources;
	struct relay_source source;
	int64_t start_ms;
	int64_t since_ms;
	/* When the current source has replied or failed; 0 once it replied. */
	int64_t reply_ms;
	int64_t next_watch_ms;
	int64_t next_tick_ms;
	int64_t last_live_ms;
	int64_t outage_ms;
	uint32_t peer;
	bool has_snapshot;
	bool is_live;
};

struct test_fleet {
	struct fleet_node nodes[NODE_COUNT_MAX];
	GRand *random;
	enum pattern pattern;
	uint32_t node_count;
	uint32_t store_calls;
	int64_t now_ms;
};

static bool is_fault(const struct test_fleet *fleet)
{
	return fleet->now_ms >= FAULT_MS && fleet->now_ms < FAULT_END_MS;
}

static bool has_power(const struct test_fleet *fleet, uint32_t i)
{
	if (fleet->now_ms < FAULT_MS)
		return true;
	if (fleet->pattern == READERS_LOSE_POWER)
		return i >= 2;
	return fleet->pattern != HALF_LOSES_POWER || i % 2 == 1;
}

static bool reaches_store(const struct test_fleet *fleet, uint32_t i)
{
	if (!is_fault(fleet))
		return true;
	return fleet->pattern != STORE_AWAY &&
	       (fleet->pattern != READERS_REFUSED || i >= 2);
}

static bool is_mirror_live(const struct test_fleet *fleet, uint32_t i)
{
	const struct fleet_node *node = &fleet->nodes[i];

	if (node->is_live)
		return node->source.may_serve;
	return node->last_live_ms != 0 &&
	       fleet->now_ms - node->last_live_ms < RELAY_GRACE_MS &&
	       relay_sources_role(node->sources, fleet->now_ms) ==
		       RELAY_ROLE_RELAY;
}

static struct endpoint endpoint_of(uint32_t i)
{
	struct endpoint endpoint;

	endpoint_parse(&endpoint, "10.0.0.1:1");
	endpoint.port = (uint16_t)(1000 + i);
	return endpoint;
}

static struct relay_peer peer_of(const struct test_fleet *fleet, uint32_t i)
{
	return (struct relay_peer){
		.node_id = 1000 + i,
		.zone_id = i % ZONE_COUNT,
		.link_mbps = LINK_MBPS_MAX - i,
		.endpoint = endpoint_of(i),
	};
}

static void list_all(struct test_fleet *fleet, uint32_t i)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));

	for (uint32_t k = 0; k < fleet->node_count; k++) {
		struct relay_peer peer = peer_of(fleet, k);

		g_array_append_val(peers, peer);
	}
	relay_sources_set_peers(fleet->nodes[i].sources, peers);
	g_array_free(peers, TRUE);
}

static void set_seeds(struct test_fleet *fleet, uint32_t i)
{
	GArray *seeds = g_array_new(FALSE, TRUE, sizeof(struct endpoint));

	for (uint32_t k = 0; k < SEED_COUNT; k++) {
		struct endpoint seed = endpoint_of(fleet->node_count - 1 - k);

		g_array_append_val(seeds, seed);
	}
	relay_sources_set_seeds(fleet->nodes[i].sources, seeds);
	g_array_free(seeds, TRUE);
}

static void choose(struct test_fleet *fleet, uint32_t i)
{
	struct fleet_node *node = &fleet->nodes[i];
	int64_t now_ms = fleet->now_ms;

	node->is_live = false;
	node->source =
		relay_sources_next(node->sources, !node->has_snapshot, now_ms);
	node->since_ms = now_ms;
	if (node->source.kind == RELAY_SOURCE_NONE) {
		node->reply_ms = node->source.retry_at_ms;
	} else if (node->source.kind == RELAY_SOURCE_STORE) {
		fleet->store_calls += node->has_snapshot;
		node->reply_ms = now_ms + 2 * STEP_MS;
	} else {
		node->peer = node->source.endpoint.port - 1000U;
		node->reply_ms = now_ms + (has_power(fleet, node->peer)
						   ? STEP_MS
						   : PEER_FIRST_TIMEOUT_MS);
	}
}

static bool is_source_good(const struct test_fleet *fleet, uint32_t i)
{
	const struct fleet_node *node = &fleet->nodes[i];

	if (node->source.kind == RELAY_SOURCE_STORE)
		return reaches_store(fleet, i);
	return has_power(fleet, node->peer) &&
	       is_mirror_live(fleet, node->peer);
}

static void lose_source(struct test_fleet *fleet, uint32_t i)
{
	struct fleet_node *node = &fleet->nodes[i];
	bool is_silent = node->source.kind == RELAY_SOURCE_PEER &&
			 !has_power(fleet, node->peer);

	relay_sources_record_failure(node->sources,
				     is_silent ? RELAY_FAILURE_SILENT
					       : RELAY_FAILURE_REFUSED,
				     fleet->now_ms);
	choose(fleet, i);
}

static void handle_reply(struct test_fleet *fleet, uint32_t i)
{
	struct fleet_node *node = &fleet->nodes[i];

	node->reply_ms = 0;
	if (node->source.kind == RELAY_SOURCE_NONE) {
		choose(fleet, i);
	} else if (!is_source_good(fleet, i)) {
		lose_source(fleet, i);
	} else if (!node->has_snapshot &&
		   relay_sources_should_switch(node->sources, fleet->now_ms)) {
		node->has_snapshot = true;
		choose(fleet, i);
	} else {
		node->has_snapshot = true;
		node->is_live = true;
		node->next_watch_ms = fleet->now_ms + WATCH_MS;
		relay_sources_record_success(node->sources);
	}
}

/* A source that loses power is noticed at the end of the watch's timeout. */
static void check_live(struct test_fleet *fleet, uint32_t i)
{
	struct fleet_node *node = &fleet->nodes[i];
	bool is_silent = node->source.kind == RELAY_SOURCE_PEER &&
			 !has_power(fleet, node->peer);

	if (is_source_good(fleet, i)) {
		node->last_live_ms = fleet->now_ms;
		if (fleet->now_ms >= node->next_watch_ms) {
			node->next_watch_ms += WATCH_MS;
			fleet->store_calls +=
				node->source.kind == RELAY_SOURCE_STORE;
		}
	} else if (!is_silent || fleet->now_ms - node->last_live_ms >=
					 PEER_WATCH_TIMEOUT_MS) {
		lose_source(fleet, i);
	}
}

static void start(struct test_fleet *fleet, uint32_t i)
{
	struct fleet_node *node = &fleet->nodes[i];
	struct relay_peer self = peer_of(fleet, i);

	node->sources = relay_sources_new(&self, fleet->random);
	node->next_tick_ms = fleet->now_ms + TICK_MS;
	set_seeds(fleet, i);
	if (fleet->pattern != FIRST_START)
		list_all(fleet, i);
	choose(fleet, i);
}

/* The store's absence is no outage: a node cannot have news then. */
static void measure_outage(struct test_fleet *fleet, uint32_t i)
{
	struct fleet_node *node = &fleet->nodes[i];
	bool is_excused = fleet->pattern == STORE_AWAY && is_fault(fleet);

	if (is_source_good(fleet, i) && node->is_live)
		node->outage_ms = 0;
	else if (!is_excused)
		node->outage_ms += STEP_MS;
}

static void step_node(struct test_fleet *fleet, uint32_t i, uint32_t row)
{
	struct fleet_node *node = &fleet->nodes[i];
	int64_t now_ms = fleet->now_ms;

	if (now_ms < node->start_ms || !has_power(fleet, i))
		return;
	if (!node->sources)
		start(fleet, i);
	if (fleet->pattern == FIRST_START && now_ms == LISTED_MS)
		list_all(fleet, i);
	if (node->is_live)
		check_live(fleet, i);
	if (node->reply_ms != 0 && now_ms >= node->reply_ms)
		handle_reply(fleet, i);
	if (now_ms >= node->next_tick_ms) {
		node->next_tick_ms += TICK_MS;
		if (node->is_live && now_ms - node->since_ms >= SWITCH_AGE_MS &&
		    relay_sources_should_switch(node->sources, now_ms))
			choose(fleet, i);
	}
	measure_outage(fleet, i);
	ck_assert_msg(node->outage_ms <= rows[row].outage_max_ms,
		      "%s: node %u without news for %d ms at %d ms",
		      rows[row].name, i, (int)node->outage_ms, (int)now_ms);
}

START_TEST(test_pattern)
{
	struct test_fleet *fleet = g_new0(struct test_fleet, 1);

	test_row("relay_fleet", rows[_i].name);
	fleet->random = g_rand_new_with_seed(20261204);
	fleet->pattern = rows[_i].pattern;
	fleet->node_count = rows[_i].node_count;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		fleet->nodes[i].start_ms =
			START_MS + g_rand_int_range(fleet->random, 0,
						    START_SPREAD_MS / STEP_MS) *
					   STEP_MS;
	for (; fleet->now_ms < END_MS; fleet->now_ms += STEP_MS) {
		for (uint32_t i = 0; i < fleet->node_count; i++)
			step_node(fleet, i, (uint32_t)_i);
	}
	printf("%s: %u calls to the store\n", rows[_i].name,
	       fleet->store_calls);
	ck_assert_uint_le(fleet->store_calls, rows[_i].store_calls_max);
	for (uint32_t i = 0; i < fleet->node_count; i++)
		relay_sources_free(fleet->nodes[i].sources);
	g_rand_free(fleet->random);
	g_free(fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_fleet");
	TCase *tcase = tcase_create("relay_fleet");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_pattern, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
