/* Packets of open flows whose target or zone is lost, and the decisions. */
#include <core/relay_director.h>
#include <core/relay_tag.h>
#include <fakes/test_main.h>
#include <glib.h>

#define STEP_COUNT_MAX 12
#define OWN_ZONE 1
#define ZONE 2
#define SERVICE_ID 7
#define TARGET 0xc3
#define OTHER_TARGET 0xc4
#define FLOW_CAPACITY 64
#define STALLED_TARGET_COUNT 3

enum step_kind {
	END,
	/* Time passes with the messages of all zones. */
	CALM,
	/* Time passes while ZONE is cut off and other flows there stall. */
	CUT,
	/*
	 * Time passes while other nodes' flows to the target stall; a flow of
	 * this node to another target is answered.
	 */
	SILENT,
	/* Another node has seen a sign of life from the target just now. */
	OBJECTED,
	/* The target's entry is removed from the store. */
	REMOVED,
	/* The caller sends data: a is the sequence, b what it acknowledges. */
	DATA,
	/* The caller acknowledges b without data. */
	ACK,
	/* The caller closes the flow. */
	CLOSE,
};

enum outcome { ANY, FORWARDED, GIVEN_UP };

/* at_ms is when the step is done, for CALM, CUT and SILENT when it ends. */
struct step {
	int64_t at_ms;
	enum step_kind kind;
	uint32_t a;
	uint32_t b;
	enum outcome outcome;
};

static const struct {
	const char *name;
	enum relay_route_kind kind;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"next-request-in-a-lost-zone",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {2050, ACK, 0, 9, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {3500, DATA, 200, 9, FORWARDED},
	  {3510, DATA, 300, 9, GIVEN_UP}}},
	{"flow-that-the-target-closes-in-a-lost-zone",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {3500, ACK, 0, 6, FORWARDED},
	  {3700, DATA, 100, 6, GIVEN_UP}}},
	{"target-that-answers-in-a-lost-zone",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {3500, ACK, 0, 9, FORWARDED},
	  {3500, DATA, 200, 9, FORWARDED},
	  {3510, DATA, 200, 9, FORWARDED}}},
	{"held-back-acknowledgement-in-a-lost-zone",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {3500, DATA, 200, 9, FORWARDED},
	  {3510, DATA, 300, 9, GIVEN_UP}}},
	{"request-sent-again-in-a-lost-zone",
	 RELAY_ROUTE_DOWNLOAD,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {3500, DATA, 100, 5, GIVEN_UP},
	  {3700, DATA, 100, 5, GIVEN_UP}}},
	{"request-that-must-not-run-twice",
	 RELAY_ROUTE_UNSAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {3500, DATA, 100, 5, FORWARDED},
	  {3510, DATA, 100, 5, FORWARDED}}},
	{"acknowledgement-and-close-in-a-lost-zone",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {3500, DATA, 100, 5, GIVEN_UP},
	  {3510, ACK, 0, 5, FORWARDED},
	  {3510, CLOSE, 0, 5, FORWARDED}}},
	{"zone-is-back",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {3500, CUT, 0, 0, ANY},
	  {4000, CALM, 0, 0, ANY},
	  {4000, DATA, 100, 5, FORWARDED},
	  {4010, DATA, 100, 5, FORWARDED}}},
	{"stalled-flow-in-a-live-zone",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {2200, DATA, 100, 5, FORWARDED},
	  {2600, DATA, 100, 5, FORWARDED},
	  {3400, DATA, 100, 5, FORWARDED},
	  {5000, DATA, 100, 5, FORWARDED}}},
	{"next-request-to-a-silent-target",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {2050, ACK, 0, 9, FORWARDED},
	  {4500, SILENT, 0, 0, ANY},
	  {4500, DATA, 200, 9, FORWARDED},
	  {4510, DATA, 300, 9, GIVEN_UP},
	  {4700, DATA, 200, 9, GIVEN_UP}}},
	{"request-to-a-silent-target-that-must-not-run-twice",
	 RELAY_ROUTE_UNSAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {4500, SILENT, 0, 0, ANY},
	  {4500, DATA, 100, 5, FORWARDED},
	  {4700, DATA, 100, 5, FORWARDED}}},
	{"silent-target-answers-a-trial",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {4500, SILENT, 0, 0, ANY},
	  {4500, DATA, 200, 5, FORWARDED},
	  {4510, DATA, 300, 5, GIVEN_UP},
	  {4550, ACK, 0, 9, FORWARDED},
	  {4560, DATA, 300, 9, FORWARDED}}},
	{"silent-target-seen-alive-by-another-node",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, DATA, 100, 5, FORWARDED},
	  {4500, SILENT, 0, 0, ANY},
	  {4500, OBJECTED, 0, 0, ANY},
	  {4500, DATA, 200, 5, FORWARDED},
	  {4510, DATA, 300, 5, FORWARDED}}},
	{"silent-target-without-an-entry",
	 RELAY_ROUTE_UNSAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, REMOVED, 0, 0, ANY},
	  {4300, SILENT, 0, 0, ANY},
	  {4300, DATA, 100, 5, FORWARDED},
	  {4500, SILENT, 0, 0, ANY},
	  {4500, DATA, 100, 5, FORWARDED},
	  {4900, SILENT, 0, 0, ANY},
	  {4900, DATA, 100, 5, GIVEN_UP}}},
	{"stalled-flow-of-a-target-that-is-gone",
	 RELAY_ROUTE_UNSAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, REMOVED, 0, 0, ANY},
	  {7000, DATA, 100, 5, FORWARDED},
	  {7200, DATA, 100, 5, FORWARDED},
	  {7600, DATA, 100, 5, GIVEN_UP}}},
	{"stalled-flow-of-a-target-removed-just-now",
	 RELAY_ROUTE_UNSAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, REMOVED, 0, 0, ANY},
	  {3000, DATA, 100, 5, FORWARDED},
	  {3200, DATA, 100, 5, FORWARDED},
	  {3600, DATA, 100, 5, FORWARDED}}},
	{"live-flow-of-a-removed-target",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, REMOVED, 0, 0, ANY},
	  {8000, DATA, 100, 5, FORWARDED},
	  {8200, DATA, 100, 5, FORWARDED},
	  {8300, ACK, 0, 9, FORWARDED},
	  {8500, DATA, 200, 9, FORWARDED},
	  {8700, DATA, 200, 9, FORWARDED}}},
	{"burst-of-a-long-request",
	 RELAY_ROUTE_SAFE,
	 {{2000, CALM, 0, 0, ANY},
	  {2000, REMOVED, 0, 0, ANY},
	  {8000, DATA, 300, 5, FORWARDED},
	  {8200, DATA, 100, 5, FORWARDED},
	  {8200, DATA, 200, 5, FORWARDED},
	  {8201, DATA, 300, 5, FORWARDED}}},
};

static void discard_resend(void *context, const struct relay_verdict *verdict,
			   const uint8_t *bytes, uint32_t length_bytes)
{
}

static void discard_moved(void *context, struct hash128 flow_hash, uint32_t tag)
{
}

static void discard_avoidance(void *context, uint64_t target_id,
			      uint32_t zone_id)
{
}

static struct relay_director *make_director(enum relay_route_kind kind)
{
	struct relay_director_options options = {
		.zone_id = OWN_ZONE,
		.flow_capacity = FLOW_CAPACITY,
		.callbacks = {.resend_opening = discard_resend,
			      .flow_moved = discard_moved,
			      .avoidance_started = discard_avoidance},
	};
	struct relay_director *director = relay_director_new(&options);
	struct relay_route_table *table = relay_route_table_new(1, 60000);
	struct relay_route route = {
		.kind = kind,
		.share_count = 1,
		.shares = (struct relay_share[]){{SERVICE_ID, 1}}};
	struct target target = {.target_id = TARGET,
				.incarnation = 1,
				.service_id = SERVICE_ID,
				.zone_id = ZONE,
				.slot_count = 2,
				.state = TARGET_SERVING};

	struct target other = target;

	other.target_id = OTHER_TARGET;
	endpoint_parse(&route.address, "198.18.0.1:443");
	ck_assert(relay_route_table_add(table, &route));
	relay_director_set_routes(director, table);
	ck_assert(relay_directory_put(relay_director_directory(director),
				      &target, 0, 0));
	ck_assert(relay_directory_put(relay_director_directory(director),
				      &other, 0, 0));
	return director;
}

/* The caller of another flow acknowledges what the other target answered. */
static void acknowledge_other(struct relay_director *director, int64_t now_ms)
{
	struct relay_packet packet = {.tag = relay_tag_of(OTHER_TARGET),
				      .sequence = 100,
				      .acknowledged = (uint32_t)now_ms};

	endpoint_parse(&packet.caller, "100.64.0.1:1001");
	endpoint_parse(&packet.service, "198.18.0.1:443");
	relay_director_handle_packet(director, &packet, NULL, 0, now_ms);
}

static void report(struct relay_director *director, bool is_alive,
		   int64_t now_ms)
{
	const struct relay_target_report content = {
		.tag = relay_tag_of(TARGET),
		.is_alive = is_alive,
		.flow = 1 + (uint32_t)(now_ms / 25) % 3,
	};

	relay_director_handle_target_report(director, &content, now_ms);
}

static void pass_time(struct relay_director *director, int64_t from_ms,
		      const struct step *step)
{
	struct relay_silence *silence = relay_director_silence(director);

	for (int64_t now_ms = from_ms; now_ms <= step->at_ms; now_ms += 25) {
		relay_director_tick(director, now_ms);
		relay_silence_record_message(silence, OWN_ZONE, now_ms);
		if (step->kind == SILENT) {
			acknowledge_other(director, now_ms);
			report(director, false, now_ms);
		}
		if (step->kind != CUT)
			relay_silence_record_message(silence, ZONE, now_ms);
		for (uint32_t i = 0;
		     step->kind == CUT && i < STALLED_TARGET_COUNT; i++)
			relay_silence_record_stall(silence, ZONE, i, now_ms);
	}
}

static enum outcome send(struct relay_director *director,
			 const struct step *step)
{
	struct relay_packet packet = {
		.tag = relay_tag_of(TARGET),
		.sequence = step->a,
		.acknowledged = step->b,
		.payload_bytes = step->kind == DATA ? 100 : 0,
		.is_closing = step->kind == CLOSE,
	};
	struct relay_verdict verdict;

	endpoint_parse(&packet.caller, "100.64.0.1:1000");
	endpoint_parse(&packet.service, "198.18.0.1:443");
	verdict = relay_director_handle_packet(director, &packet, NULL, 0,
					       step->at_ms);
	ck_assert_uint_eq(verdict.target_id, TARGET);
	if (verdict.action == RELAY_FORWARD)
		return FORWARDED;
	ck_assert_int_eq(verdict.action, RELAY_RESET);
	ck_assert_int_eq(verdict.reason, REASON_TARGET_LOST);
	return GIVEN_UP;
}

START_TEST(test_row_of_steps)
{
	struct relay_director *director = make_director(rows[_i].kind);
	int64_t now_ms = 0;

	test_row("relay_stall", rows[_i].name);
	for (const struct step *step = rows[_i].steps; step->kind != END;
	     step++) {
		if (step->kind <= SILENT)
			pass_time(director, now_ms, step);
		else if (step->kind == OBJECTED)
			report(director, true, step->at_ms);
		else if (step->kind == REMOVED)
			relay_directory_remove(
				relay_director_directory(director), TARGET,
				step->at_ms);
		else
			ck_assert_int_eq(send(director, step), step->outcome);
		now_ms = step->at_ms;
	}
	relay_director_free(director);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_stall");
	TCase *tcase = tcase_create("relay_stall");

	tcase_add_loop_test(tcase, test_row_of_steps, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
