/* Packets, targets and routes in order, and what the director decides. */
#include <core/relay_director.h>
#include <core/relay_tag.h>
#include <core/service.h>
#include <fakes/test_main.h>
#include <string.h>

#define OWN_ZONE 1
#define OTHER_ZONE 2
#define SERVICE_ID 7
#define OTHER_SERVICE_ID 8
#define STEP_COUNT_MAX 16
#define IDLE_TIMEOUT_MS 15000
#define FLOW_CAPACITY 64

/* Targets of the rows: A and B in the own zone, C and D in another. */
enum { TARGET_A = 0xa1, TARGET_B = 0xb2, TARGET_C = 0xc3, TARGET_D = 0xd4 };

/* What a step does; a and b are its arguments. */
enum verb {
	END,
	/* A target a of the own zone, or b's zone, serves. */
	SERVES,
	LEAVES,
	IS_GONE,
	/* It serves another service from now on. */
	CHANGES_SERVICE,
	/* Routes of version a; b says whether the address has one. */
	ROUTES,
	/* Caller a opens a flow; b is its sequence number. */
	OPENS,
	/* Caller a sends a packet with the tag of target b, 0 for none. */
	SENDS,
	CLOSES,
	/* Another node says that it has caller a's flow. */
	MOVED,
	/* Another node has a open flows at target b. */
	REPORT,
	TICKS,
};

/* Expected of a packet: where it goes, or why not. ANY is not checked. */
struct expected {
	int action;
	enum reason reason;
	uint64_t target_id;
};

#define TO(target, reason)                                                     \
	{                                                                      \
		RELAY_FORWARD, reason, target                                  \
	}
#define TO_ANY(reason)                                                         \
	{                                                                      \
		RELAY_FORWARD, reason, 0                                       \
	}
#define RESET(reason)                                                          \
	{                                                                      \
		RELAY_RESET, reason, 0                                         \
	}
#define DROP(reason)                                                           \
	{                                                                      \
		RELAY_DROP, reason, 0                                          \
	}
#define NOTHING                                                                \
	{                                                                      \
		-1, REASON_NONE, 0                                             \
	}

struct step {
	int64_t at_ms;
	enum verb verb;
	uint32_t a;
	uint32_t b;
	struct expected expected;
};

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"start-holds-opening-packets-for-a-moment",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {1, OPENS, 1, 5, {RELAY_HOLD, REASON_NOT_READY, 0}},
	  {2, SENDS, 1, TARGET_A, DROP(REASON_NOT_READY)},
	  {599, OPENS, 1, 5, {RELAY_HOLD, REASON_NOT_READY, 0}},
	  {600, OPENS, 1, 5, RESET(REASON_NOT_READY)}}},
	{"start-without-targets",
	 {{0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, {RELAY_HOLD, REASON_NOT_READY, 0}},
	  {600, OPENS, 1, 5, RESET(REASON_NO_TARGET)}}},
	{"flow-follows-its-tag",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {8, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {9, CLOSES, 1, TARGET_A, TO(TARGET_A, REASON_TAG)}}},
	{"address-without-a-route",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, false, NOTHING},
	  {1, OPENS, 1, 5, RESET(REASON_NO_SERVICE)}}},
	{"route-dropped-under-an-open-flow",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {8, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {9, ROUTES, 2, false, NOTHING},
	  {10, SENDS, 1, TARGET_A, RESET(REASON_NO_SERVICE)}}},
	{"older-version-changes-nothing",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 5, false, NOTHING},
	  {1, ROUTES, 4, true, NOTHING},
	  {2, OPENS, 1, 5, RESET(REASON_NO_SERVICE)}}},
	{"leaving-target-keeps-its-flows-only",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {8, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {9, LEAVES, TARGET_A, OWN_ZONE, NOTHING},
	  {10, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {11, OPENS, 2, 5, RESET(REASON_NO_TARGET)}}},
	{"lapsed-entry-serves-for-two-seconds",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, IS_GONE, TARGET_A, 0, NOTHING},
	  {2000, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {2001, OPENS, 2, 5, RESET(REASON_NO_TARGET)}}},
	{"lapsed-entry-that-comes-back",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, IS_GONE, TARGET_A, 0, NOTHING},
	  {1500, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {9000, OPENS, 2, 5, TO(TARGET_A, REASON_LEAST_LOADED)}}},
	{"entry-gone-after-leaving",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, LEAVES, TARGET_A, OWN_ZONE, NOTHING},
	  {2, IS_GONE, TARGET_A, 0, NOTHING},
	  {3, OPENS, 1, 5, RESET(REASON_NO_TARGET)},
	  {4, SENDS, 2, TARGET_A, TO(TARGET_A, REASON_TAG)}}},
	{"tag-of-nobody",
	 {{0, ROUTES, 1, true, NOTHING},
	  {1, SENDS, 1, TARGET_A, DROP(REASON_TAG_UNKNOWN)},
	  {2, SENDS, 1, 0, DROP(REASON_TAG_UNKNOWN)}}},
	{"gone-target-is-forgotten-after-flows-have-ended",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, IS_GONE, TARGET_A, 0, NOTHING},
	  {60000, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {80000, TICKS, 0, 0, NOTHING},
	  {80001, SENDS, 1, TARGET_A, DROP(REASON_TAG_UNKNOWN)}}},
	{"unanswered-opening-goes-to-another",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {30, TICKS, 0, 0, NOTHING},
	  {31, TICKS, 0, 0, TO(TARGET_C, REASON_UNANSWERED)}}},
	{"answered-opening-is-not-repeated",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {8, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {500, TICKS, 0, 0, NOTHING}}},
	{"late-second-answer-does-not-move-the-flow",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {31, TICKS, 0, 0, TO(TARGET_C, REASON_UNANSWERED)},
	  {32, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {33, SENDS, 1, TARGET_C, TO(TARGET_A, REASON_TAG)}}},
	{"flow-that-another-node-has-is-not-repeated",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {9, MOVED, 1, 0, NOTHING},
	  {500, TICKS, 0, 0, NOTHING}}},
	{"callers-copy-goes-with-the-first",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_B, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {0, REPORT, 2, TARGET_B, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {2, OPENS, 1, 5, TO(TARGET_A, REASON_RECORD)}}},
	{"reused-port-is-a-new-flow",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {8, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {9, OPENS, 1, 6, TO(TARGET_A, REASON_LEAST_LOADED)}}},
	{"two-silent-flows-make-a-target-avoided",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {1, OPENS, 2, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {31, TICKS, 0, 0, TO(TARGET_C, REASON_UNANSWERED)},
	  {32, SENDS, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {32, SENDS, 2, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {33, CLOSES, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {33, CLOSES, 2, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {40, OPENS, 3, 5, TO(TARGET_C, REASON_LEAST_LOADED)},
	  {600, OPENS, 4, 5, TO(TARGET_A, REASON_LEAST_LOADED)}}},
	{"two-silent-targets-make-a-zone-avoided",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, SERVES, TARGET_D, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {0, REPORT, 9, TARGET_A, NOTHING},
	  {1, OPENS, 1, 5, TO_ANY(REASON_LEAST_LOADED)},
	  {1, OPENS, 2, 5, TO_ANY(REASON_LEAST_LOADED)},
	  {31, TICKS, 0, 0, TO(TARGET_A, REASON_UNANSWERED)},
	  {40, OPENS, 3, 5, TO(TARGET_A, REASON_LEAST_LOADED)}}},
	{"all-avoided-are-used-all-the-same",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {1, OPENS, 2, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {31, TICKS, 0, 0, TO(TARGET_A, REASON_UNANSWERED)},
	  {40, OPENS, 3, 5, TO(TARGET_A, REASON_LEAST_LOADED)}}},
	{"id-that-comes-back-in-another-service",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, CHANGES_SERVICE, TARGET_A, OWN_ZONE, NOTHING},
	  {2, OPENS, 1, 5, RESET(REASON_NO_TARGET)}}},
};

/* What the director did last, by a packet's verdict or a second try. */
struct seen {
	struct relay_verdict verdict;
	uint32_t again_count;
};

static void on_forward_again(void *context, const struct relay_verdict *verdict,
			     const uint8_t *bytes, uint32_t length_bytes)
{
	struct seen *seen = context;

	seen->verdict = *verdict;
	seen->again_count++;
}

static void on_flow_moved(void *context, struct flow_print print)
{
}

static void on_health_changed(void *context, uint64_t target_id,
			      uint32_t zone_id)
{
}

static struct relay_packet packet_of(const struct step *step)
{
	struct relay_packet packet = {
		.tag = step->b && step->verb != OPENS ? relay_tag_of(step->b)
						      : RELAY_TAG_NONE,
		.sequence = step->verb == OPENS ? step->b : 0,
		.is_opening = step->verb == OPENS,
		.is_closing = step->verb == CLOSES,
	};

	endpoint_parse(&packet.caller, "100.64.0.1:1");
	packet.caller.port = (uint16_t)(1000 + step->a);
	endpoint_parse(&packet.service, "198.18.0.1:443");
	return packet;
}

static void describe(struct relay_director *director, const struct step *step)
{
	struct target target = {
		.target_id = step->a,
		.service_id = step->verb == CHANGES_SERVICE ? OTHER_SERVICE_ID
							    : SERVICE_ID,
		.zone_id = step->b,
		.slot_count = 2,
		.state = step->verb == LEAVES ? TARGET_LEAVING : TARGET_SERVING,
	};

	ck_assert(relay_directory_put(relay_director_directory(director),
				      &target, 0, step->at_ms));
}

static void set_routes(struct relay_director *director, const struct step *step)
{
	struct relay_route_table *table =
		relay_route_table_new(step->a, IDLE_TIMEOUT_MS);
	struct relay_route route = {.share_count = 1,
				    .shares = {{SERVICE_ID, 1}}};

	endpoint_parse(&route.address, "198.18.0.1:443");
	if (step->b)
		ck_assert(relay_route_table_add(table, &route));
	relay_director_set_routes(director, table);
}

static void moved(struct relay_director *director, const struct step *step)
{
	struct relay_packet packet = packet_of(step);
	struct flow_key key = {.caller = packet.caller,
			       .service = packet.service,
			       .protocol = FLOW_PROTOCOL_UDP};

	relay_director_flow_moved(director, flow_key_print(&key, 0));
}

static void report(struct relay_director *director, const struct step *step)
{
	struct relay_load load = {relay_tag_of(step->b), step->a};

	relay_loads_take(relay_director_loads(director), 99, &load, 1,
			 step->at_ms);
}

static void run(struct relay_director *director, const struct step *step,
		struct seen *seen)
{
	static const uint8_t bytes[8] = {1};
	struct relay_packet packet = packet_of(step);

	switch (step->verb) {
	case SERVES:
	case LEAVES:
	case CHANGES_SERVICE:
		describe(director, step);
		break;
	case IS_GONE:
		relay_directory_remove(relay_director_directory(director),
				       step->a, step->at_ms);
		break;
	case ROUTES:
		set_routes(director, step);
		break;
	case MOVED:
		moved(director, step);
		break;
	case REPORT:
		report(director, step);
		break;
	case TICKS:
		relay_director_tick(director, step->at_ms);
		break;
	default:
		seen->verdict = relay_director_packet(
			director, &packet, bytes, sizeof(bytes), step->at_ms);
	}
}

static void check(const struct step *step, const struct seen *seen,
		  uint32_t again_count)
{
	if (step->verb == TICKS)
		ck_assert_int_eq(step->expected.action >= 0,
				 seen->again_count > again_count);
	if (step->expected.action < 0)
		return;
	ck_assert_int_eq(seen->verdict.action, step->expected.action);
	ck_assert_str_eq(reason_name(seen->verdict.reason),
			 reason_name(step->expected.reason));
	if (step->expected.target_id)
		ck_assert_uint_eq(seen->verdict.target_id,
				  step->expected.target_id);
}

START_TEST(test_row_of_steps)
{
	struct seen seen = {.again_count = 0};
	struct relay_director_options options = {
		.zone_id = OWN_ZONE,
		.flow_capacity = FLOW_CAPACITY,
		.effects = {.context = &seen,
			    .forward_again = on_forward_again,
			    .flow_moved = on_flow_moved,
			    .health_changed = on_health_changed},
	};
	struct relay_director *director = relay_director_new(&options);

	test_row("relay_director", rows[_i].name);
	for (const struct step *step = rows[_i].steps; step->verb != END;
	     step++) {
		uint32_t again_count = seen.again_count;

		run(director, step, &seen);
		check(step, &seen, again_count);
	}
	relay_director_free(director);
}
END_TEST

/* The table of flows stays within its bound, whatever callers send. */
START_TEST(test_flood)
{
	struct seen seen = {.again_count = 0};
	struct relay_director_options options = {
		.zone_id = OWN_ZONE,
		.flow_capacity = FLOW_CAPACITY,
		.effects = {.context = &seen,
			    .forward_again = on_forward_again,
			    .flow_moved = on_flow_moved,
			    .health_changed = on_health_changed},
	};
	struct relay_director *director = relay_director_new(&options);
	struct step setup[] = {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
			       {0, ROUTES, 1, true, NOTHING}};
	const struct relay_target *known;

	test_row("relay_director", "flood-of-opening-packets");
	run(director, &setup[0], &seen);
	run(director, &setup[1], &seen);
	for (uint32_t i = 0; i < 100 * FLOW_CAPACITY; i++) {
		struct step step = {i, OPENS, i, 5, NOTHING};

		run(director, &step, &seen);
		ck_assert_uint_le(relay_director_flow_count(director),
				  FLOW_CAPACITY);
	}
	known = relay_directory_find(relay_director_directory(director),
				     relay_tag_of(TARGET_A));
	ck_assert_uint_le(known->own_open_count, FLOW_CAPACITY);
	relay_director_free(director);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_director");
	TCase *tcase = tcase_create("relay_director");

	tcase_add_loop_test(tcase, test_row_of_steps, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_flood);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
