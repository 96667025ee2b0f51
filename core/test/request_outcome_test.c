/* The response to a caller, by attempt outcomes, method and key. */
#include "request_fixture.h"

#define DEADLINE_MS 1000

enum response {
	RESPONSE_COMPLETE,
	RESPONSE_TRUNCATED,
	RESPONSE_NOT_RUN,
	RESPONSE_UNKNOWN,
};

#define NO_SECOND_ATTEMPT ATTEMPT_OUTCOME_COUNT

/*
 * The outcomes of the first and of later attempts, whether the headers arrived
 * before, and the response and number of attempts for a repeatable request
 * (GET) and for one that may not be repeated (POST).
 */
static const struct {
	const char *name;
	enum attempt_outcome first;
	enum attempt_outcome second;
	bool has_headers;
	enum response get;
	uint32_t get_attempts;
	enum response post;
	uint32_t post_attempts;
} rows[] = {
	{"whole", ATTEMPT_COMPLETE, NO_SECOND_ATTEMPT, false, RESPONSE_COMPLETE,
	 1, RESPONSE_COMPLETE, 1},
	{"whole after headers", ATTEMPT_COMPLETE, NO_SECOND_ATTEMPT, true,
	 RESPONSE_COMPLETE, 1, RESPONSE_COMPLETE, 1},
	{"not sent, whole", ATTEMPT_NOT_SENT, ATTEMPT_COMPLETE, false,
	 RESPONSE_COMPLETE, 2, RESPONSE_COMPLETE, 2},
	{"shed, whole", ATTEMPT_SHED, ATTEMPT_COMPLETE, false,
	 RESPONSE_COMPLETE, 2, RESPONSE_COMPLETE, 2},
	{"shed, shed", ATTEMPT_SHED, ATTEMPT_SHED, false, RESPONSE_NOT_RUN, 16,
	 RESPONSE_NOT_RUN, 16},
	{"not sent, not sent", ATTEMPT_NOT_SENT, ATTEMPT_NOT_SENT, false,
	 RESPONSE_NOT_RUN, 16, RESPONSE_NOT_RUN, 16},
	{"reset, whole", ATTEMPT_RESET, ATTEMPT_COMPLETE, false,
	 RESPONSE_COMPLETE, 2, RESPONSE_UNKNOWN, 1},
	{"reset, reset", ATTEMPT_RESET, ATTEMPT_RESET, false, RESPONSE_UNKNOWN,
	 11, RESPONSE_UNKNOWN, 1},
	{"reset, shed", ATTEMPT_RESET, ATTEMPT_SHED, false, RESPONSE_UNKNOWN,
	 16, RESPONSE_UNKNOWN, 1},
	{"reset, not sent", ATTEMPT_RESET, ATTEMPT_NOT_SENT, false,
	 RESPONSE_UNKNOWN, 16, RESPONSE_UNKNOWN, 1},
	{"shed, reset", ATTEMPT_SHED, ATTEMPT_RESET, false, RESPONSE_UNKNOWN,
	 12, RESPONSE_UNKNOWN, 2},
	{"reset in the answer", ATTEMPT_RESET, NO_SECOND_ATTEMPT, true,
	 RESPONSE_TRUNCATED, 1, RESPONSE_TRUNCATED, 1},
	{"truncated", ATTEMPT_TRUNCATED, NO_SECOND_ATTEMPT, true,
	 RESPONSE_TRUNCATED, 1, RESPONSE_TRUNCATED, 1},
	{"truncated before headers were passed on", ATTEMPT_TRUNCATED,
	 ATTEMPT_COMPLETE, false, RESPONSE_COMPLETE, 2, RESPONSE_UNKNOWN, 1},
	{"malformed, whole", ATTEMPT_MALFORMED, ATTEMPT_COMPLETE, false,
	 RESPONSE_COMPLETE, 2, RESPONSE_UNKNOWN, 1},
	{"timeout, whole", ATTEMPT_TIMEOUT, ATTEMPT_COMPLETE, false,
	 RESPONSE_COMPLETE, 2, RESPONSE_UNKNOWN, 1},
	{"timeout, shed", ATTEMPT_TIMEOUT, ATTEMPT_SHED, false,
	 RESPONSE_UNKNOWN, 16, RESPONSE_UNKNOWN, 1},
};

#define ROW_COUNT (sizeof(rows) / sizeof(rows[0]))

/* The method, and whether the request has a key whose claim is granted. */
static const struct {
	const char *name;
	bool is_repeatable;
	bool has_key;
} request_kinds[] = {
	{"get", true, false},
	{"get with key", true, true},
	{"post", false, false},
	{"post with key", false, true},
};

#define KIND_COUNT (sizeof(request_kinds) / sizeof(request_kinds[0]))

static enum response response(const struct fixture *fixture)
{
	if (fixture->refusal_count > 0)
		return fixture->refusals[0].kind == REFUSAL_NOT_RUN
			       ? RESPONSE_NOT_RUN
			       : RESPONSE_UNKNOWN;
	return fixture->fail_count > 0 ? RESPONSE_TRUNCATED : RESPONSE_COMPLETE;
}

/* Time advances per attempt, because a busy target gets no requests. */
static void run_attempts(struct fixture *fixture, size_t row)
{
	enum attempt_outcome outcome = rows[row].first;
	int64_t now_ms = 0;

	for (uint32_t i = 0; i < fixture->start_count && i < 20; i++) {
		if (rows[row].has_headers)
			request_director_record_headers(fixture->director,
							fixture->attempt_ids[i],
							now_ms);
		request_director_record_end(fixture->director,
					    fixture->attempt_ids[i], outcome,
					    now_ms);
		outcome = rows[row].second;
		now_ms += 20;
		request_director_tick(fixture->director, now_ms);
	}
}

START_TEST(test_outcome)
{
	size_t row = (size_t)_i / KIND_COUNT;
	size_t kind = (size_t)_i % KIND_COUNT;
	struct request_info info = fixture_info(1, CLASS_URGENT, DEADLINE_MS);
	bool is_get = request_kinds[kind].is_repeatable;
	bool is_claimed = request_kinds[kind].has_key && !is_get;
	enum response expected = is_get ? rows[row].get : rows[row].post;
	char name[96];
	struct fixture fixture;

	snprintf(name, sizeof(name), "%s, %s", rows[row].name,
		 request_kinds[kind].name);
	test_row("request_outcome", name);
	fixture_init(&fixture, 4, 3, 1);
	info.is_repeatable = is_get;
	info.has_idempotency_key = request_kinds[kind].has_key;
	request_director_submit(fixture.director, &info, 0);
	ck_assert_uint_eq(fixture.claim_count, is_claimed);
	ck_assert_uint_eq(fixture.start_count, !is_claimed);
	if (is_claimed)
		request_director_handle_claim_result(fixture.director, 1,
						     CLAIM_GRANTED, 0);
	run_attempts(&fixture, row);
	ck_assert_msg(response(&fixture) == expected, "%s: response %d", name,
		      response(&fixture));
	ck_assert_msg(fixture.start_count == (is_get ? rows[row].get_attempts
						     : rows[row].post_attempts),
		      "%s: %u attempts", name, fixture.start_count);
	ck_assert_uint_eq(fixture.release_count,
			  is_claimed && expected == RESPONSE_NOT_RUN);
	ck_assert_uint_eq(fixture.settle_count,
			  is_claimed && expected != RESPONSE_NOT_RUN);
	ck_assert_uint_eq(request_director_open_count(fixture.director), 0);
	fixture_clear(&fixture);
}
END_TEST

/* The result of the claim on a key, and the resulting refusal reason. */
static const struct {
	const char *name;
	bool has_result;
	enum claim_result result;
	enum reason reason;
	bool is_started;
} claim_rows[] = {
	{"granted", true, CLAIM_GRANTED, REASON_NONE, true},
	{"taken", true, CLAIM_TAKEN, REASON_KEY_CLAIMED, false},
	{"unknown", true, CLAIM_UNKNOWN, REASON_KEY_UNKNOWN, false},
	{"no answer", false, CLAIM_UNKNOWN, REASON_KEY_UNKNOWN, false},
};

START_TEST(test_claim)
{
	struct request_info info = fixture_info(1, CLASS_URGENT, DEADLINE_MS);
	struct fixture fixture;

	test_row("request_claim", claim_rows[_i].name);
	fixture_init(&fixture, 4, 3, 1);
	info.is_repeatable = false;
	info.has_idempotency_key = true;
	request_director_submit(fixture.director, &info, 0);
	if (claim_rows[_i].has_result)
		request_director_handle_claim_result(fixture.director, 1,
						     claim_rows[_i].result, 3);
	request_director_tick(fixture.director, DEADLINE_MS);
	/* A claim granted after its timeout starts nothing. */
	request_director_handle_claim_result(fixture.director, 1, CLAIM_GRANTED,
					     DEADLINE_MS);
	ck_assert_uint_eq(fixture.start_count, claim_rows[_i].is_started);
	ck_assert_uint_eq(fixture.refusal_count, 1);
	ck_assert_int_eq(fixture.refusals[0].kind, REFUSAL_UNKNOWN);
	if (!claim_rows[_i].is_started)
		ck_assert_int_eq(fixture.refusals[0].reason,
				 claim_rows[_i].reason);
	fixture_clear(&fixture);
}
END_TEST

/* The deadline of a request, and that of its attempt. */
static const struct {
	const char *name;
	int64_t deadline_ms;
	int64_t due_ms;
	bool has_key;
} deadline_rows[] = {
	{"short, no key", 1000, 1000, false},
	{"short, key", 1000, 1000, true},
	{"an hour, no key", 3600000, 3600000, false},
	{"an hour, key outlived by its claim", 3600000, 300000, true},
};

START_TEST(test_deadline)
{
	struct request_info info =
		fixture_info(1, CLASS_URGENT, deadline_rows[_i].deadline_ms);
	struct fixture fixture;

	test_row("request_deadline", deadline_rows[_i].name);
	fixture_init(&fixture, 4, 3, 1);
	info.is_repeatable = false;
	info.has_idempotency_key = deadline_rows[_i].has_key;
	request_director_submit(fixture.director, &info, 0);
	if (deadline_rows[_i].has_key)
		request_director_handle_claim_result(fixture.director, 1,
						     CLAIM_GRANTED, 3);
	ck_assert_uint_eq(fixture.start_count, 1);
	ck_assert_int_eq(fixture.started_due_ms[0], deadline_rows[_i].due_ms);
	fixture_clear(&fixture);
}
END_TEST

/* Late events of an attempt that timed out or whose caller disconnected. */
static const struct {
	const char *name;
	bool is_caller_gone;
	bool is_repeatable;
	uint32_t refusals;
} late_rows[] = {
	{"answer after the deadline", false, false, 1},
	{"answer after the second attempt's", false, true, 0},
	{"answer after the caller has gone", true, false, 0},
};

START_TEST(test_late)
{
	struct request_info info = fixture_info(1, CLASS_URGENT, DEADLINE_MS);
	struct fixture fixture;

	test_row("request_late", late_rows[_i].name);
	fixture_init(&fixture, 4, 3, 1);
	info.is_repeatable = late_rows[_i].is_repeatable;
	request_director_submit(fixture.director, &info, 0);
	if (late_rows[_i].is_caller_gone)
		request_director_handle_disconnect(fixture.director, 1, 10);
	request_director_tick(fixture.director, fixture.started_due_ms[0]);
	ck_assert_uint_eq(fixture.cancel_count, 1);
	if (late_rows[_i].is_repeatable) {
		ck_assert_uint_eq(fixture.start_count, 2);
		request_director_record_end(fixture.director,
					    fixture.attempt_ids[1],
					    ATTEMPT_COMPLETE, 900);
	}
	request_director_record_headers(fixture.director,
					fixture.attempt_ids[0], 950);
	request_director_record_end(fixture.director, fixture.attempt_ids[0],
				    ATTEMPT_COMPLETE, 950);
	request_director_tick(fixture.director, 2 * DEADLINE_MS);
	ck_assert_uint_eq(fixture.refusal_count, late_rows[_i].refusals);
	ck_assert_uint_eq(fixture.fail_count, 0);
	ck_assert_uint_eq(request_director_open_count(fixture.director), 0);
	fixture_clear(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("request_outcome");
	TCase *tcase = tcase_create("outcome");

	tcase_add_loop_test(tcase, test_outcome, 0,
			    (int)(ROW_COUNT * KIND_COUNT));
	tcase_add_loop_test(tcase, test_claim, 0,
			    sizeof(claim_rows) / sizeof(claim_rows[0]));
	tcase_add_loop_test(tcase, test_deadline, 0,
			    sizeof(deadline_rows) / sizeof(deadline_rows[0]));
	tcase_add_loop_test(tcase, test_late, 0,
			    sizeof(late_rows) / sizeof(late_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
