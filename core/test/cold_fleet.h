/*
 * A fleet in virtual time: each node is a director of its own, hears of the
 * targets and of the other nodes with a delay of its own, and chooses for the
 * flows that come to it.
 */
#ifndef COLD_FLEET_H
#define COLD_FLEET_H

#include <core/relay_director.h>
#include <core/relay_tag.h>
#include <core/service.h>
#include <fakes/test_main.h>

#define NODE_COUNT_MAX 352
#define TARGET_COUNT 24
#define ZONE_COUNT 4
#define FLOW_CAPACITY 4096
#define SERVICE_ID 7
#define IDLE_TIMEOUT_MS 15000
#define HEARTBEAT_MS 1200
#define TICK_MS 25
#define NEWS_DELAY_MAX_MS 50
#define LATE_NEWS_DELAY_MAX_MS 1200
#define LIST_DELAY_MAX_MS 1500
#define MS_PER_S 1000

/* Cold targets start at COLD_MS; what happens to nodes does so at FAULT_MS. */
#define COLD_MS 6000
#define FAULT_MS 6500
#define PAUSE_END_MS 8000

enum pattern {
	STEADY,
	/* All flows of a second come within 50 ms. */
	BURSTS,
	/* A third of the nodes is listed only from FAULT_MS on, or until then.
	 */
	NODES_JOIN,
	NODES_LEAVE,
	/* A third restarts, or stands still and then gets its packets at once.
	 */
	NODES_RESTART,
	NODES_PAUSED,
	/* Half of the nodes list an eighth less than the others, all the time.
	 */
	TWO_VIEWS,
	/* Nodes first hear of a warm-up up to one heartbeat late. */
	LATE_NEWS,
	/* Targets don't answer, so that nodes and callers send again. */
	SILENT,
	/* All targets are in one zone, or some in a zone without nodes. */
	TARGETS_IN_ONE_ZONE,
	ZONE_WITHOUT_NODES,
};

/*
 * What happens to a fleet with 24 targets, of which the first cold_count start
 * at COLD_MS.
 */
struct cold_row {
	const char *name;
	enum pattern pattern;
	uint32_t node_count;
	uint32_t cold_count;
	uint32_t flows_per_s;
	uint32_t rate_milli;
	uint32_t warmup_ms;
	uint32_t factor_milli;
	uint32_t burst_milli;
};

struct test_node {
	struct test_fleet *fleet;
	struct relay_director *director;
	int64_t news_delay_ms;
	int64_t list_delay_ms;
	GArray *packets;
};

/* sent_ms has the times of the opening packets to each target. */
struct test_fleet {
	struct test_node nodes[NODE_COUNT_MAX];
	GArray *sent_ms[TARGET_COUNT];
	GRand *random;
	const struct cold_row *row;
	int64_t now_ms;
	uint32_t flow_count;
	uint32_t refused_count;
	uint32_t held_count;
	uint32_t reported_count;
};

static uint64_t target_id_at(uint32_t i)
{
	return (uint64_t)(i + 1) * 0x10001;
}

static void record_opening(struct test_fleet *fleet, uint64_t target_id)
{
	g_array_append_val(fleet->sent_ms[target_id / 0x10001 - 1],
			   fleet->now_ms);
}

static void on_resend(void *context, const struct relay_verdict *verdict,
		      const uint8_t *bytes, uint32_t length_bytes)
{
	struct test_node *node = context;

	record_opening(node->fleet, verdict->target_id);
}

static void on_flow_moved(void *context, struct hash128 flow_hash, uint32_t tag)
{
}

static void on_avoidance_started(void *context, uint64_t target_id,
				 uint32_t zone_id)
{
}

static void on_warmup_changed(void *context, const struct relay_target *entry,
			      bool is_limited)
{
	struct test_node *node = context;

	if (is_limited)
		node->fleet->reported_count++;
}

static uint32_t node_index(const struct test_node *node)
{
	return (uint32_t)(node - node->fleet->nodes);
}

/* Returns whether the store lists node i at a time, as this node sees it. */
static bool is_listed(const struct test_node *node, uint32_t i, int64_t time_ms)
{
	switch (node->fleet->row->pattern) {
	case NODES_JOIN:
		return i % 3 != 0 || time_ms >= FAULT_MS;
	case NODES_LEAVE:
		return i % 3 != 0 || time_ms < FAULT_MS;
	case TWO_VIEWS:
		return node_index(node) % 2 == 0 || i % 8 != 0;
	default:
		return true;
	}
}

static void hear_list(struct test_node *node, int64_t listed_ms)
{
	const struct test_fleet *fleet = node->fleet;
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));

	for (uint32_t i = 0; i < fleet->row->node_count; i++) {
		const struct relay_peer peer = {.node_id = 1000 + i,
						.zone_id = 1 + i % ZONE_COUNT};

		if (is_listed(node, i, listed_ms))
			g_array_append_val(peers, peer);
	}
	relay_director_set_nodes(node->director, peers, fleet->now_ms);
	g_array_free(peers, TRUE);
}

static uint32_t target_zone(const struct test_fleet *fleet, uint32_t i)
{
	switch (fleet->row->pattern) {
	case TARGETS_IN_ONE_ZONE:
		return 1;
	case ZONE_WITHOUT_NODES:
		return 1 + i % (ZONE_COUNT + 1);
	default:
		return 1 + i % ZONE_COUNT;
	}
}

static void hear_targets(struct test_node *node, int64_t written_ms)
{
	const struct test_fleet *fleet = node->fleet;
	int64_t end_ms = COLD_MS + fleet->row->warmup_ms;

	for (uint32_t i = 0; i < TARGET_COUNT; i++) {
		struct target target = {
			.target_id = target_id_at(i),
			.service_id = SERVICE_ID,
			.zone_id = target_zone(fleet, i),
			.slot_count = 2,
		};
		bool is_cold = i < fleet->row->cold_count;

		if (is_cold && written_ms < COLD_MS)
			continue;
		relay_directory_put(
			relay_director_directory(node->director), &target,
			is_cold ? (uint32_t)(end_ms - written_ms) : 0,
			fleet->now_ms);
	}
}

static void set_routes(struct test_node *node)
{
	struct relay_route_table *table =
		relay_route_table_new(1, IDLE_TIMEOUT_MS);
	struct relay_route route = {
		.share_count = 1,
		.shares = (struct relay_share[]){{SERVICE_ID, 1}}};
	struct relay_service service = {
		.service_id = SERVICE_ID,
		.warmup_ms = node->fleet->row->warmup_ms,
		.warmup_per_s_milli = node->fleet->row->rate_milli,
	};

	endpoint_parse(&route.address, "198.18.0.1:80");
	relay_route_table_add(table, &route);
	relay_route_table_add_service(table, &service);
	relay_director_set_routes(node->director, table);
}

static void start_node(struct test_fleet *fleet, uint32_t i)
{
	struct test_node *node = &fleet->nodes[i];
	struct relay_director_options options = {
		.zone_id = 1 + i % ZONE_COUNT,
		.flow_capacity = FLOW_CAPACITY,
		.random_seed = 7 + i,
		.start_ms = fleet->now_ms,
		.warmup = {.self_id = 1000 + i,
			   .factor_milli = fleet->row->factor_milli,
			   .burst_milli = fleet->row->burst_milli},
		.callbacks = {.context = node,
			      .resend_opening = on_resend,
			      .flow_moved = on_flow_moved,
			      .avoidance_started = on_avoidance_started,
			      .warmup_changed = on_warmup_changed},
	};

	relay_director_free(node->director);
	node->director = relay_director_new(&options);
	set_routes(node);
	hear_targets(node, fleet->now_ms);
	hear_list(node, fleet->now_ms);
}

static struct test_fleet *make_fleet(const struct cold_row *row)
{
	struct test_fleet *fleet = g_new0(struct test_fleet, 1);
	int32_t delay_max_ms = row->pattern == LATE_NEWS
				       ? LATE_NEWS_DELAY_MAX_MS
				       : NEWS_DELAY_MAX_MS;

	fleet->row = row;
	fleet->random = g_rand_new_with_seed(42);
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		fleet->sent_ms[i] = g_array_new(FALSE, TRUE, sizeof(int64_t));
	for (uint32_t i = 0; i < row->node_count; i++) {
		struct test_node *node = &fleet->nodes[i];

		node->fleet = fleet;
		node->news_delay_ms =
			g_rand_int_range(fleet->random, 0, delay_max_ms);
		node->list_delay_ms =
			g_rand_int_range(fleet->random, 0, LIST_DELAY_MAX_MS);
		node->packets =
			g_array_new(FALSE, TRUE, sizeof(struct relay_packet));
		start_node(fleet, i);
	}
	return fleet;
}

static void free_fleet(struct test_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->row->node_count; i++) {
		relay_director_free(fleet->nodes[i].director);
		g_array_free(fleet->nodes[i].packets, TRUE);
	}
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		g_array_free(fleet->sent_ms[i], TRUE);
	g_rand_free(fleet->random);
	g_free(fleet);
}

static bool is_running(const struct test_fleet *fleet, uint32_t i)
{
	enum pattern pattern = fleet->row->pattern;

	if (i % 3 != 0 || (pattern != NODES_LEAVE && pattern != NODES_PAUSED))
		return true;
	return fleet->now_ms < FAULT_MS ||
	       (pattern == NODES_PAUSED && fleet->now_ms >= PAUSE_END_MS);
}

static void handle_opening(struct test_node *node, struct relay_packet *packet)
{
	struct test_fleet *fleet = node->fleet;
	bool is_silent = fleet->row->pattern == SILENT;
	const uint8_t bytes[] = {0};

	packet->is_opening = true;
	/* A caller without an answer sends again, while the first is due. */
	for (uint32_t i = 0; i < (is_silent ? 2 : 1); i++) {
		struct relay_verdict verdict = relay_director_handle_packet(
			node->director, packet, bytes, sizeof(bytes),
			fleet->now_ms);

		if (verdict.action == RELAY_FORWARD)
			record_opening(fleet, verdict.target_id);
		fleet->held_count += verdict.action == RELAY_HOLD &&
				     fleet->now_ms >= COLD_MS;
		fleet->refused_count += verdict.action == RELAY_RESET &&
					verdict.reason == REASON_WARMUP_LIMIT;
		packet->tag = verdict.tag;
	}
	packet->is_opening = false;
	if (!is_silent && packet->tag != RELAY_TAG_NONE)
		relay_director_handle_packet(node->director, packet, bytes,
					     sizeof(bytes), fleet->now_ms);
}

static void run_node(struct test_node *node)
{
	int64_t now_ms = node->fleet->now_ms;
	enum pattern pattern = node->fleet->row->pattern;
	uint32_t i = node_index(node);
	int64_t written_ms = now_ms - node->news_delay_ms;

	if (now_ms == FAULT_MS && pattern == NODES_RESTART && i % 3 == 0)
		start_node(node->fleet, i);
	if (pattern == LATE_NEWS && written_ms > COLD_MS + HEARTBEAT_MS)
		written_ms = now_ms;
	if (now_ms >= COLD_MS && written_ms >= COLD_MS &&
	    (written_ms - COLD_MS) % HEARTBEAT_MS == 0)
		hear_targets(node, written_ms);
	if (now_ms == FAULT_MS + node->list_delay_ms)
		hear_list(node, FAULT_MS);
	if ((now_ms + i) % TICK_MS == 0)
		relay_director_tick(node->director, now_ms);
	for (guint j = 0; j < node->packets->len; j++)
		handle_opening(node, &g_array_index(node->packets,
						    struct relay_packet, j));
	g_array_set_size(node->packets, 0);
}

/* Adds the flows of this millisecond to the packets of random nodes. */
static void add_flows(struct test_fleet *fleet)
{
	uint32_t per_s = fleet->row->flows_per_s;
	uint32_t count = per_s / MS_PER_S;

	if (fleet->row->pattern == BURSTS)
		count = fleet->now_ms % MS_PER_S < 50 ? per_s / 50 : 0;
	else
		count += (uint32_t)g_rand_int_range(
				 fleet->random, 0, MS_PER_S) < per_s % MS_PER_S;
	for (uint32_t i = 0; i < count; i++) {
		uint32_t at = (uint32_t)g_rand_int_range(
			fleet->random, 0, (gint32)fleet->row->node_count);
		struct relay_packet packet = {.sequence = 5};

		packet.caller.addr =
			ip_addr_from_v4(0x0a000000 + fleet->flow_count++);
		packet.caller.port = 1000;
		endpoint_parse(&packet.service, "198.18.0.1:80");
		if (is_running(fleet, at) ||
		    fleet->row->pattern == NODES_PAUSED)
			g_array_append_val(fleet->nodes[at].packets, packet);
	}
}

#endif
