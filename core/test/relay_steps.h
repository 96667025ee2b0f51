#ifndef RELAY_STEPS_H
#define RELAY_STEPS_H

#include "relay_step.h"

#include <core/relay_director.h>
#include <core/relay_tag.h>
#include <core/service.h>
#include <fakes/test_main.h>
#include <string.h>

#define OWN_ZONE 1
#define OTHER_ZONE 2
#define ZONE_COUNT 3
#define ZONE_BIT(zone_id) (1u << (zone_id))
#define SERVICE_ID 7
#define OTHER_SERVICE_ID 8
#define STEP_COUNT_MAX 16
#define SELF_ID 5
#define WARMUP_MS 60000

/* One opening packet in 100 s: one token in a warm-up. */
#define WARMUP_PER_S_MILLI 10

#define IDLE_TIMEOUT_MS 15000
#define FLOW_CAPACITY 64
#define REPORT_VALID_MS 1500
#define SEQUENCE_MASK 0xffff0000U
#define SECOND_COPY 0x4000U
#define LAST_COPY 0x8000U

/*
 * The last verdict, of a packet or a resend, and the number of resends. told is
 * the last verdict on a target that was told where a flow opened, and
 * told_count the number of those since the last step TOLD.
 */
struct observed {
	struct relay_verdict verdict;
	uint32_t resend_count;
	struct relay_verdict told;
	uint32_t told_count;
};

static inline void on_resend_opening(void *context,
				     const struct relay_verdict *verdict,
				     const uint8_t *bytes,
				     uint32_t length_bytes)
{
	struct observed *observed = context;

	observed->verdict = *verdict;
	observed->resend_count++;
}

static inline void on_settle_opening(void *context,
				     const struct relay_verdict *verdict,
				     const uint8_t *bytes,
				     uint32_t length_bytes)
{
	struct observed *observed = context;

	observed->told = *verdict;
	observed->told_count++;
}

static inline void on_flow_moved(void *context, struct hash128 flow_hash,
				 uint32_t tag)
{
}

static inline void on_avoidance_started(void *context, uint64_t target_id,
					uint32_t zone_id)
{
}

static inline void on_warmup_changed(void *context,
				     const struct relay_target *entry,
				     bool is_limited)
{
}

static inline uint8_t copy_number_of(const struct step *step)
{
	if (step->kind != READS_LATE)
		return 0;
	return step->a & LAST_COPY ? 2 : step->a & SECOND_COPY ? 1 : 0;
}

static inline struct relay_packet packet_of(const struct step *step)
{
	bool is_opening = step->kind == OPENS || step->kind == READS_LATE;
	uint32_t caller = step->a & ~SEQUENCE_MASK;
	struct relay_packet packet = {
		.tag = step->b && !is_opening ? relay_tag_of(step->b)
					      : RELAY_TAG_NONE,
		.sequence = (step->a & SEQUENCE_MASK) |
			    (step->kind == OPENS ? step->b : 0),
		.age_ms = step->kind == READS_LATE ? step->b : 0,
		.copy_number = copy_number_of(step),
		.is_opening = is_opening,
		.is_closing = step->kind == CLOSES,
		.is_reset = step->kind == RESETS,
	};

	if (step->kind == READS_LATE)
		caller &= ~(SECOND_COPY | LAST_COPY);
	endpoint_parse(&packet.caller, "100.64.0.1:1");
	packet.caller.port = (uint16_t)(1000 + caller);
	endpoint_parse(&packet.service, "198.18.0.1:443");
	return packet;
}

static inline void put_target(struct relay_director *director,
			      const struct step *step)
{
	struct target target = {
		.target_id = step->a,
		.incarnation = step->kind == STARTS_AGAIN ? 2 : 1,
		.service_id = step->kind == CHANGES_SERVICE ? OTHER_SERVICE_ID
							    : SERVICE_ID,
		.zone_id = step->b,
		.slot_count = 2,
		.state = step->kind == LEAVES ? TARGET_LEAVING : TARGET_SERVING,
	};

	ck_assert(relay_directory_put(
		relay_director_directory(director), &target,
		step->kind == IS_COLD ? WARMUP_MS : 0, step->at_ms));
}

static inline void set_routes(struct relay_director *director,
			      const struct step *step)
{
	struct relay_route_table *table =
		relay_route_table_new(step->a, IDLE_TIMEOUT_MS);
	struct relay_route route = {
		.share_count = 1,
		.shares = (struct relay_share[]){{step->kind == ROUTE_MOVES
							  ? OTHER_SERVICE_ID
							  : SERVICE_ID,
						  1}}};
	struct relay_service service = {SERVICE_ID, WARMUP_MS,
					WARMUP_PER_S_MILLI};

	endpoint_parse(&route.address, "198.18.0.1:443");
	if (step->b || step->kind == ROUTE_MOVES)
		ck_assert(relay_route_table_add(table, &route));
	ck_assert(relay_route_table_add_service(table, &service));
	relay_director_set_routes(director, table);
}

static inline struct hash128 flow_hash_of(const struct step *step)
{
	struct relay_packet packet = packet_of(step);
	struct flow_key key = {.caller = packet.caller,
			       .service = packet.service,
			       .protocol = FLOW_PROTOCOL_UDP};

	return flow_key_hash(&key, 0);
}

static inline uint32_t tag_of(uint32_t target)
{
	return target ? relay_tag_of(target) : RELAY_TAG_NONE;
}

static inline void check_sought(struct relay_director *director,
				const struct step *step)
{
	struct relay_sought_flow flows[RELAY_SOUGHT_COUNT_MAX];

	ck_assert_uint_eq(
		relay_director_take_sought(director, flows, step->at_ms),
		step->a);
}

static inline void check_answer(struct relay_director *director,
				const struct step *step)
{
	const struct relay_sought_flow sought = {flow_hash_of(step),
						 packet_of(step).sequence};

	ck_assert_uint_eq(relay_director_find_tag(director, &sought),
			  tag_of(step->b));
}

static inline void report_load(struct relay_director *director,
			       const struct step *step)
{
	struct relay_load load = {relay_tag_of(step->b), step->a};

	relay_loads_update(relay_director_loads(director), 99, &load, 1,
			   step->at_ms + REPORT_VALID_MS);
}

static inline void on_evacuation_changed(void *context, const struct zone *zone,
					 bool is_evacuated)
{
}

static inline void set_evacuations(struct relay_director *director,
				   const struct step *step)
{
	struct relay_evacuations_observer observer = {NULL,
						      on_evacuation_changed};
	GArray *zones = g_array_new(FALSE, TRUE, sizeof(struct zone));

	for (uint32_t zone_id = 1; zone_id <= ZONE_COUNT; zone_id++) {
		struct zone zone = {.zone_id = zone_id};

		if (step->a & ZONE_BIT(zone_id))
			g_array_append_val(zones, zone);
	}
	relay_evacuations_set(relay_director_evacuations(director), zones,
			      &observer);
	g_array_free(zones, TRUE);
}

static inline void list_self(struct relay_director *director,
			     const struct step *step)
{
	const struct relay_peer self = {.node_id = SELF_ID,
					.zone_id = OWN_ZONE};
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));

	g_array_append_val(peers, self);
	relay_director_set_nodes(director, peers, step->at_ms);
	g_array_free(peers, TRUE);
}

static inline void check_told(const struct step *step,
			      struct observed *observed)
{
	ck_assert_uint_eq(observed->told_count, step->a ? 1 : 0);
	observed->told_count = 0;
	if (!step->a)
		return;
	ck_assert_uint_eq(observed->told.target_id, step->a);
	ck_assert_uint_eq(observed->told.tag, tag_of(step->b));
}

static inline void run_step(struct relay_director *director,
			    const struct step *step, struct observed *observed)
{
	static const uint8_t bytes[8] = {1};
	struct relay_packet packet = packet_of(step);

	switch (step->kind) {
	case SERVES:
	case LEAVES:
	case STARTS_AGAIN:
	case CHANGES_SERVICE:
	case IS_COLD:
		put_target(director, step);
		break;
	case REMOVED:
		relay_directory_remove(relay_director_directory(director),
				       step->a, step->at_ms);
		break;
	case NODES:
		relay_director_set_node_count(director, (uint32_t)step->a);
		break;
	case ROUTES:
	case ROUTE_MOVES:
		set_routes(director, step);
		break;
	case MOVED:
		relay_director_handle_flow_moved(director, flow_hash_of(step),
						 tag_of(step->b), step->at_ms);
		break;
	case FOUND:
		relay_director_handle_flow_found(director, flow_hash_of(step),
						 tag_of(step->b), step->at_ms);
		break;
	case SEEKS:
		check_sought(director, step);
		break;
	case IS_ASKED_FOR:
		check_answer(director, step);
		break;
	case TOLD:
		check_told(step, observed);
		break;
	case REPORT:
		report_load(director, step);
		break;
	case EVACUATED:
		set_evacuations(director, step);
		break;
	case LISTS:
		list_self(director, step);
		break;
	case TICKS:
		relay_director_tick(director, step->at_ms);
		break;
	case NODE_LEAVES:
		relay_director_set_leaving(director);
		break;
	case ASKED:
		relay_director_note_asked(director, step->at_ms);
		break;
	case HOLDS:
		ck_assert_uint_eq(relay_director_flow_count(director), step->a);
		break;
	default:
		observed->verdict = relay_director_handle_packet(
			director, &packet, bytes, sizeof(bytes), step->at_ms);
	}
}

static inline void check_step(const struct step *step,
			      const struct observed *observed,
			      uint32_t resend_count)
{
	if (step->kind == TICKS)
		ck_assert_int_eq(step->expected.action >= 0,
				 observed->resend_count > resend_count);
	if (step->expected.action < 0)
		return;
	ck_assert_int_eq(observed->verdict.action, step->expected.action);
	ck_assert_str_eq(reason_name(observed->verdict.reason),
			 reason_name(step->expected.reason));
	if (step->expected.target_id)
		ck_assert_uint_eq(observed->verdict.target_id,
				  step->expected.target_id);
}

/* Runs steps on a new director, up to the first of kind END. */
static inline void run_steps(const struct step *steps)
{
	struct observed observed = {.resend_count = 0};
	struct relay_director_options options = {
		.zone_id = OWN_ZONE,
		.flow_capacity = FLOW_CAPACITY,
		.reuse_after_ms =
			steps[0].kind == REUSED_AFTER ? steps[0].a : 0,
		.warmup = {.self_id = SELF_ID},
		.callbacks = {.context = &observed,
			      .resend_opening = on_resend_opening,
			      .settle_opening = on_settle_opening,
			      .flow_moved = on_flow_moved,
			      .avoidance_started = on_avoidance_started,
			      .warmup_changed = on_warmup_changed},
	};
	struct relay_director *director = relay_director_new(&options);

	for (const struct step *step = steps; step->kind != END; step++) {
		uint32_t resend_count = observed.resend_count;

		run_step(director, step, &observed);
		check_step(step, &observed, resend_count);
	}
	relay_director_free(director);
}

#endif
