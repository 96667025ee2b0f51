#ifndef CLAIM_FLEET_H
#define CLAIM_FLEET_H

#include <core/claim_director.h>
#include <fakes/driver.h>
#include <fakes/test_main.h>

#define CLAIM_NODE_COUNT 9
#define CLAIM_MEMBER_COUNT 7
#define CLAIM_ZONE_COUNT 3
#define CLAIM_LIFETIME_MS 60000
#define CLAIM_LEASE_MS 10000
#define CLAIM_TICK_INTERVAL_MS 20
#define CLAIM_REQUEST_COUNT 8
#define CLAIM_NO_RESULT CLAIM_RESULT_COUNT

/* The value after the last enum claim_result stands for "no result yet". */
enum {
	CLAIM_RESULT_COUNT = CLAIM_UNKNOWN + 1,
};

/*
 * Claim directors connected by a simulated network. Nodes 0 to
 * CLAIM_MEMBER_COUNT - 1 are in the first roster, the rest are spare. A dead
 * node receives and sends nothing.
 */
struct claim_fleet {
	struct driver *driver;
	struct claim_fleet_node {
		struct claim_fleet *fleet;
		uint32_t index;
		struct claim_director *claims;
		bool is_dead;
		bool is_paused;
	} nodes[CLAIM_NODE_COUNT];
	struct roster roster;
	enum claim_result results[CLAIM_REQUEST_COUNT];
	uint64_t message_count;
};

struct claim_envelope {
	uint64_t from;
	struct claim_message message;
};

static inline uint64_t claim_node_id(uint32_t index)
{
	return (index + 1) * 1000003ULL;
}

static inline uint32_t claim_node_index(uint64_t node_id)
{
	return (uint32_t)(node_id / 1000003ULL) - 1;
}

static inline void claim_fleet_deliver(void *context, uint32_t from,
				       uint32_t to, void *data)
{
	struct claim_fleet *fleet = context;
	struct claim_envelope *envelope = data;

	if (!fleet->nodes[to].is_dead)
		claim_director_handle_message(
			fleet->nodes[to].claims, envelope->from,
			&envelope->message, driver_now_ms(fleet->driver));
	g_free(envelope);
}

static inline void claim_fleet_discard(void *data)
{
	g_free(data);
}

static inline void *claim_fleet_duplicate(const void *data)
{
	return g_memdup2(data, sizeof(struct claim_envelope));
}

static inline void claim_fleet_send(void *context, uint64_t to_node_id,
				    const struct claim_message *message)
{
	struct claim_fleet_node *node = context;
	struct claim_envelope *envelope = g_new(struct claim_envelope, 1);

	envelope->from = claim_node_id(node->index);
	envelope->message = *message;
	node->fleet->message_count++;
	driver_send(node->fleet->driver, node->index,
		    claim_node_index(to_node_id), envelope);
}

static inline void claim_fleet_record_result(void *context, uint64_t request_id,
					     enum claim_result result)
{
	struct claim_fleet_node *node = context;

	node->fleet->results[request_id] = result;
}

static inline void claim_fleet_init(struct claim_fleet *fleet, uint64_t seed)
{
	struct driver_options options = {
		.instance_count = CLAIM_NODE_COUNT,
		.seed = seed,
		.link = {.delay_ms = 1, .jitter_ms = 2},
		.context = fleet,
		.deliver = claim_fleet_deliver,
		.discard = claim_fleet_discard,
		.duplicate = claim_fleet_duplicate,
	};

	*fleet = (struct claim_fleet){.driver = driver_new(&options)};
	for (uint32_t i = 0; i < CLAIM_REQUEST_COUNT; i++)
		fleet->results[i] = (enum claim_result)CLAIM_NO_RESULT;
	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++) {
		struct claim_fleet_node *node = &fleet->nodes[i];
		struct claim_director_options claims = {
			.node_id = claim_node_id(i),
			.capacity = 1000,
			.round_limit = 100,
			.lifetime_ms = CLAIM_LIFETIME_MS,
			.lease_ms = CLAIM_LEASE_MS,
			.callbacks = {node, claim_fleet_send,
				      claim_fleet_record_result},
		};

		node->fleet = fleet;
		node->index = i;
		node->claims = claim_director_new(&claims);
	}
}

static inline void claim_fleet_clear(struct claim_fleet *fleet)
{
	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++)
		claim_director_free(fleet->nodes[i].claims);
	driver_free(fleet->driver);
}

/* Runs until end_ms; every node that is neither dead nor paused ticks. */
static inline void claim_fleet_run(struct claim_fleet *fleet, int64_t end_ms)
{
	int64_t now_ms = driver_now_ms(fleet->driver);

	while (now_ms < end_ms) {
		now_ms = MIN(now_ms + CLAIM_TICK_INTERVAL_MS, end_ms);
		driver_run_until(fleet->driver, now_ms);
		for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++) {
			if (!fleet->nodes[i].is_dead &&
			    !fleet->nodes[i].is_paused)
				claim_director_tick(fleet->nodes[i].claims,
						    now_ms);
		}
	}
}

/* Publishes a roster of member_mask's nodes to the nodes of notified_mask. */
static inline void claim_fleet_publish(struct claim_fleet *fleet,
				       uint32_t member_mask,
				       uint32_t notified_mask)
{
	struct roster_member members[CLAIM_NODE_COUNT];
	uint32_t count = 0;

	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++) {
		if (member_mask & (1U << i))
			members[count++] = (struct roster_member){
				claim_node_id(i), 1 + i % CLAIM_ZONE_COUNT};
	}
	ck_assert(roster_next(&fleet->roster,
			      fleet->roster.epoch ? &fleet->roster : NULL,
			      members, count));
	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++) {
		if ((notified_mask & (1U << i)) && !fleet->nodes[i].is_dead &&
		    !fleet->nodes[i].is_paused)
			claim_director_set_roster(fleet->nodes[i].claims,
						  &fleet->roster,
						  driver_now_ms(fleet->driver));
	}
}

static inline void claim_fleet_pause(struct claim_fleet *fleet, uint32_t index,
				     bool is_paused)
{
	fleet->nodes[index].is_paused = is_paused;
	driver_pause(fleet->driver, index, is_paused);
}

static inline void claim_fleet_partition_zone(struct claim_fleet *fleet,
					      uint32_t zone,
					      bool is_partitioned)
{
	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++) {
		for (uint32_t j = 0; j < CLAIM_NODE_COUNT; j++) {
			if ((i % CLAIM_ZONE_COUNT == zone) !=
			    (j % CLAIM_ZONE_COUNT == zone))
				driver_link(fleet->driver, i, j)->is_cut =
					is_partitioned;
		}
	}
}

#endif
