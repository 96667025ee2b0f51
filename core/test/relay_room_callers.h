#ifndef RELAY_ROOM_CALLERS_H
#define RELAY_ROOM_CALLERS_H

/*
 * Callers that open flows through a director, send requests, and get answers
 * after the time of work; a request that finds no slot waits for one.
 */
#include <core/relay_director.h>
#include <core/relay_tag.h>
#include <fakes/test_main.h>
#include <glib.h>

#define OWN_ZONE 1
#define OTHER_ZONE 2
#define SERVICE_ID 7
#define TARGET_ID 0xc3
#define OTHER_TARGET_ID 0xd4
#define ROUTE_COUNT 2
#define FLOW_CAPACITY 65536
#define BURST_START_MS 2000
#define HANDSHAKE_MS 20
#define RESENT_INTERVAL_MS 200
#define START_MS 100000
#define TIMEOUT_MS 2000
#define CALLER_COUNT 50

/* How the callers of a class use their flows. */
enum habit {
	/* One request on a flow, which is closed with the answer. */
	FRESH,
	/* Requests follow with pauses; an answer is one packet. */
	LONG_WITH_PAUSES,
	/* The same with answers that are acknowledged many times. */
	LONG_DOWNLOADS,
	/* As LONG_DOWNLOADS; from the burst on data is only sent again. */
	LONG_IN_OUTAGE,
	/*
	 * Another node had the flows; the first packet that this one sees is
	 * data sent again. Their callers send it until the run ends. They are
	 * of the first class, whose time of work other flows show.
	 */
	LONG_TAKEN_OVER,
};

/* count is flows a second; pause_ms is from an answer to the next request. */
struct load {
	uint32_t priority;
	enum habit habit;
	uint32_t per_s;
	uint32_t burst_per_s;
	uint32_t work_ms;
	uint32_t pause_ms;
	uint32_t min_percent;
	uint32_t max_percent;
};

/* due_ms is when the flow's next packet is due; stage says which. */
struct sent_flow {
	struct relay_packet packet;
	const struct load *load;
	int64_t due_ms;
	int64_t opened_ms;
	uint32_t stage;
	bool is_answered;
	bool has_slot;
};

enum { STAGE_REQUEST, STAGE_RUN, STAGE_ANSWER, STAGE_MORE, STAGE_DONE };

struct run {
	struct relay_director *director;
	GPtrArray *flows;
	uint32_t slot_count;
	uint32_t busy_count;
	uint32_t opened_count;
	uint32_t offered[ROUTE_COUNT];
	uint32_t admitted[ROUTE_COUNT];
	uint32_t change_count;
	double due[ROUTE_COUNT];
};

static inline void discard_resend(void *context,
				  const struct relay_verdict *verdict,
				  const uint8_t *bytes, uint32_t length_bytes)
{
}

static inline void discard_moved(void *context, struct hash128 flow_hash,
				 uint32_t tag)
{
}

static inline void discard_avoidance(void *context, uint64_t target_id,
				     uint32_t zone_id)
{
}

static inline void
discard_warmup(void *context, const struct relay_target *entry, bool is_limited)
{
}

static inline void discard_evacuation(void *context, const struct zone *zone,
				      bool is_evacuated)
{
}

static inline void count_change(void *context,
				const struct relay_room_change *change)
{
	struct run *run = context;

	/* A service becomes short first, and the changes alternate. */
	ck_assert_int_eq(change->is_short, run->change_count % 2 == 0);
	run->change_count++;
}

static inline struct endpoint route_address(uint32_t i)
{
	struct endpoint address;

	endpoint_parse(&address, "198.18.0.1:443");
	address.port = (uint16_t)(443 + i);
	return address;
}

static inline void set_routes(struct relay_director *director, uint64_t version,
			      const struct load *loads)
{
	struct relay_route_table *table = relay_route_table_new(version, 60000);

	for (uint32_t i = 0; i < ROUTE_COUNT; i++) {
		struct relay_route route = {
			.address = route_address(i),
			.priority = loads[i].priority,
			.timeout_ms = TIMEOUT_MS,
			.share_count = 1,
			.shares = (struct relay_share[]){{SERVICE_ID, 1}}};

		ck_assert(relay_route_table_add(table, &route));
	}
	ck_assert(relay_director_set_routes(director, table));
}

static inline void put_target(struct relay_director *director,
			      uint64_t target_id, uint32_t zone_id,
			      uint32_t slot_count)
{
	struct target target = {.target_id = target_id,
				.incarnation = 1,
				.service_id = SERVICE_ID,
				.zone_id = zone_id,
				.slot_count = slot_count,
				.state = TARGET_SERVING};

	if (slot_count > 0)
		ck_assert(
			relay_directory_put(relay_director_directory(director),
					    &target, 0, START_MS));
}

static inline void start(struct run *run, const struct load *loads,
			 uint32_t slot_count, uint32_t other_slot_count)
{
	struct relay_director_options options = {
		.zone_id = OWN_ZONE,
		.flow_capacity = FLOW_CAPACITY,
		.random_seed = 1,
		.callbacks = {.context = run,
			      .resend_opening = discard_resend,
			      .flow_moved = discard_moved,
			      .avoidance_started = discard_avoidance,
			      .warmup_changed = discard_warmup,
			      .room_changed = count_change},
	};

	run->director = relay_director_new(&options);
	run->flows = g_ptr_array_new_with_free_func(g_free);
	run->slot_count = slot_count + other_slot_count;
	set_routes(run->director, 1, loads);
	put_target(run->director, TARGET_ID, OWN_ZONE, slot_count);
	put_target(run->director, OTHER_TARGET_ID, OTHER_ZONE,
		   other_slot_count);
}

static inline struct relay_verdict
send(struct run *run, const struct relay_packet *packet, int64_t now_ms)
{
	static const uint8_t bytes[8] = {1};

	return relay_director_handle_packet(run->director, packet, bytes,
					    sizeof(bytes), now_ms);
}

static inline void send_request(struct run *run, struct sent_flow *flow,
				bool is_again, int64_t now_ms)
{
	flow->packet.payload_bytes = 100;
	flow->packet.sequence += is_again ? 0 : 100;
	send(run, &flow->packet, now_ms);
	flow->packet.payload_bytes = 0;
	flow->due_ms = now_ms;
	flow->stage = STAGE_RUN;
}

/* Opens a flow of a class. Returns the verdict. */
static inline struct relay_verdict
open_flow(struct run *run, const struct load *load, uint32_t i, int64_t now_ms)
{
	struct sent_flow *flow = g_new0(struct sent_flow, 1);
	uint32_t number = run->opened_count++;
	struct relay_verdict verdict;

	flow->load = load;
	flow->opened_ms = now_ms;
	flow->due_ms = now_ms + HANDSHAKE_MS;
	flow->packet = (struct relay_packet){
		.caller = {.addr = ip_addr_from_v4(number % CALLER_COUNT + 1),
			   .port = (uint16_t)(1000 + number / CALLER_COUNT)},
		.service = route_address(i),
		.sequence = 1000 + number,
		.is_opening = true,
	};
	if (load->habit == LONG_TAKEN_OVER) {
		flow->packet.is_opening = false;
		flow->packet.service = route_address(0);
		flow->packet.tag = relay_tag_of(TARGET_ID);
		send_request(run, flow, true, now_ms);
		g_ptr_array_add(run->flows, flow);
		return (struct relay_verdict){.action = RELAY_FORWARD};
	}
	verdict = send(run, &flow->packet, now_ms);
	if (verdict.action != RELAY_FORWARD) {
		g_free(flow);
		return verdict;
	}
	flow->packet.tag = relay_tag_of(verdict.target_id);
	flow->packet.is_opening = false;
	g_ptr_array_add(run->flows, flow);
	return verdict;
}

/* An answer of one packet is acknowledged by the next packet of the caller. */
static inline void take_answer(struct run *run, struct sent_flow *flow,
			       int64_t now_ms)
{
	enum habit habit = flow->load->habit;

	run->busy_count--;
	flow->packet.acknowledged += 1000;
	flow->stage = STAGE_REQUEST;
	flow->due_ms = now_ms + flow->load->pause_ms;
	if (habit == FRESH) {
		flow->packet.is_closing = true;
		send(run, &flow->packet, now_ms);
		flow->stage = STAGE_DONE;
	} else if (habit != LONG_WITH_PAUSES) {
		send(run, &flow->packet, now_ms);
		flow->stage = STAGE_MORE;
		flow->due_ms = now_ms + flow->load->pause_ms / 2;
	}
}

static inline void advance(struct run *run, struct sent_flow *flow,
			   int64_t now_ms)
{
	bool is_cut = flow->load->habit == LONG_TAKEN_OVER ||
		      (flow->load->habit == LONG_IN_OUTAGE &&
		       now_ms >= START_MS + BURST_START_MS);

	switch (flow->stage) {
	case STAGE_REQUEST:
		send_request(run, flow, false, now_ms);
		break;
	case STAGE_RUN:
		if (is_cut) {
			send_request(run, flow, true, now_ms);
			flow->due_ms = now_ms + RESENT_INTERVAL_MS;
		} else if (run->busy_count < run->slot_count) {
			run->busy_count++;
			flow->stage = STAGE_ANSWER;
			flow->due_ms =
				now_ms + HANDSHAKE_MS + flow->load->work_ms;
		}
		break;
	case STAGE_ANSWER:
		take_answer(run, flow, now_ms);
		break;
	case STAGE_MORE:
		flow->packet.acknowledged += 1000;
		send(run, &flow->packet, now_ms);
		flow->stage = STAGE_REQUEST;
		flow->due_ms = now_ms + flow->load->pause_ms / 2;
		break;
	default:
		break;
	}
}

static inline void advance_flows(struct run *run, int64_t now_ms)
{
	for (guint i = 0; i < run->flows->len; i++) {
		struct sent_flow *flow = g_ptr_array_index(run->flows, i);

		if (flow->due_ms <= now_ms)
			advance(run, flow, now_ms);
		if (flow->stage == STAGE_DONE)
			g_ptr_array_remove_index(run->flows, i--);
	}
}

static inline void evacuate(struct run *run, uint32_t slot_count)
{
	const struct relay_evacuations_observer observer = {NULL,
							    discard_evacuation};
	const struct zone zone = {.zone_id = OTHER_ZONE};
	GArray *zones = g_array_new(FALSE, TRUE, sizeof(struct zone));

	g_array_append_val(zones, zone);
	relay_evacuations_set(relay_director_evacuations(run->director), zones,
			      &observer);
	g_array_free(zones, TRUE);
	run->slot_count = slot_count;
}

static inline void finish(struct run *run)
{
	g_ptr_array_free(run->flows, TRUE);
	relay_director_free(run->director);
}

#endif
