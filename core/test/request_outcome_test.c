/* What a caller is told, by how attempts end, by method and by key. */
#include "request_probe.h"

#define DEADLINE_MS 1000

enum told {
	TOLD_ANSWER,
	TOLD_CUT,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
};

#define NO_SECOND ATTEMPT_OUTCOME_COUNT

/*
 * How the first and the second attempt end, whether the first's headers had
 * come, and what follows for a repeatable request (GET), for one that may not
 * be repeated (POST), and the number of attempts of each.
 */
static const struct {
	const char *name;
	enum attempt_outcome first;
	enum attempt_outcome second;
	bool has_headers;
	enum told get;
	uint32_t get_attempts;
	enum told post;
	uint32_t post_attempts;
} rows[] = {
	{"whole", ATTEMPT_WHOLE, NO_SECOND, false, TOLD_ANSWER, 1, TOLD_ANSWER,
	 1},
	{"whole after headers", ATTEMPT_WHOLE, NO_SECOND, true, TOLD_ANSWER, 1,
	 TOLD_ANSWER, 1},
	{"not sent, whole", ATTEMPT_NOT_SENT, ATTEMPT_WHOLE, false, TOLD_ANSWER,
	 2, TOLD_ANSWER, 2},
	{"shed, whole", ATTEMPT_SHED, ATTEMPT_WHOLE, false, TOLD_ANSWER, 2,
	 TOLD_ANSWER, 2},
	{"shed, shed", ATTEMPT_SHED, ATTEMPT_SHED, false, TOLD_NOT_RUN, 16,
	 TOLD_NOT_RUN, 16},
	{"not sent, not sent", ATTEMPT_NOT_SENT, ATTEMPT_NOT_SENT, false,
	 TOLD_NOT_RUN, 16, TOLD_NOT_RUN, 16},
	{"reset, whole", ATTEMPT_RESET, ATTEMPT_WHOLE, false, TOLD_ANSWER, 2,
	 TOLD_UNKNOWN, 1},
	{"reset, reset", ATTEMPT_RESET, ATTEMPT_RESET, false, TOLD_UNKNOWN, 11,
	 TOLD_UNKNOWN, 1},
	{"reset, shed", ATTEMPT_RESET, ATTEMPT_SHED, false, TOLD_UNKNOWN, 16,
	 TOLD_UNKNOWN, 1},
	{"reset, not sent", ATTEMPT_RESET, ATTEMPT_NOT_SENT, false,
	 TOLD_UNKNOWN, 16, TOLD_UNKNOWN, 1},
	{"shed, reset", ATTEMPT_SHED, ATTEMPT_RESET, false, TOLD_UNKNOWN, 12,
	 TOLD_UNKNOWN, 2},
	{"reset in the answer", ATTEMPT_RESET, NO_SECOND, true, TOLD_CUT, 1,
	 TOLD_CUT, 1},
	{"truncated", ATTEMPT_TRUNCATED, NO_SECOND, true, TOLD_CUT, 1, TOLD_CUT,
	 1},
	{"truncated before headers were passed on", ATTEMPT_TRUNCATED,
	 ATTEMPT_WHOLE, false, TOLD_ANSWER, 2, TOLD_UNKNOWN, 1},
	{"malformed, whole", ATTEMPT_MALFORMED, ATTEMPT_WHOLE, false,
	 TOLD_ANSWER, 2, TOLD_UNKNOWN, 1},
	{"timeout, whole", ATTEMPT_TIMEOUT, ATTEMPT_WHOLE, false, TOLD_ANSWER,
	 2, TOLD_UNKNOWN, 1},
	{"timeout, shed", ATTEMPT_TIMEOUT, ATTEMPT_SHED, false, TOLD_UNKNOWN,
	 16, TOLD_UNKNOWN, 1},
};

#define ROW_COUNT (sizeof(rows) / sizeof(rows[0]))

/* The method, and whether the request bears a key whose claim is granted. */
static const struct {
	const char *name;
	bool is_repeatable;
	bool has_key;
} kinds[] = {
	{"get", true, false},
	{"get with key", true, true},
	{"post", false, false},
	{"post with key", false, true},
};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))

static enum told told(const struct probe *probe)
{
	if (probe->refusal_count > 0)
		return probe->refusals[0].kind == REFUSAL_NOT_RUN
			       ? TOLD_NOT_RUN
			       : TOLD_UNKNOWN;
	return probe->fail_count > 0 ? TOLD_CUT : TOLD_ANSWER;
}

/* Targets that answered "busy" are left alone for a while, so time passes. */
static void run_attempts(struct probe *probe, size_t row)
{
	enum attempt_outcome outcome = rows[row].first;
	int64_t now_ms = 0;

	for (uint32_t i = 0; i < probe->start_count && i < 20; i++) {
		if (rows[row].has_headers)
			request_director_headers(probe->director,
						 probe->started[i], now_ms);
		request_director_ended(probe->director, probe->started[i],
				       outcome, now_ms);
		outcome = rows[row].second;
		now_ms += 20;
		request_director_tick(probe->director, now_ms);
	}
}

START_TEST(test_outcome)
{
	size_t row = (size_t)_i / KIND_COUNT;
	size_t kind = (size_t)_i % KIND_COUNT;
	struct request_event event = probe_event(1, CLASS_URGENT, DEADLINE_MS);
	bool is_get = kinds[kind].is_repeatable;
	bool is_claimed = kinds[kind].has_key && !is_get;
	enum told wanted = is_get ? rows[row].get : rows[row].post;
	char name[96];
	struct probe probe;

	snprintf(name, sizeof(name), "%s, %s", rows[row].name,
		 kinds[kind].name);
	test_row("request_outcome", name);
	probe_init(&probe, 4, 3, 1);
	event.is_repeatable = is_get;
	event.has_idempotency_key = kinds[kind].has_key;
	request_director_arrive(probe.director, &event, 0);
	ck_assert_uint_eq(probe.claim_count, is_claimed);
	ck_assert_uint_eq(probe.start_count, !is_claimed);
	if (is_claimed)
		request_director_claimed(probe.director, 1, CLAIM_GRANTED, 0);
	run_attempts(&probe, row);
	ck_assert_msg(told(&probe) == wanted, "%s: told %d", name,
		      told(&probe));
	ck_assert_msg(probe.start_count == (is_get ? rows[row].get_attempts
						   : rows[row].post_attempts),
		      "%s: %u attempts", name, probe.start_count);
	ck_assert_uint_eq(probe.release_count,
			  is_claimed && wanted == TOLD_NOT_RUN);
	ck_assert_uint_eq(probe.settle_count,
			  is_claimed && wanted != TOLD_NOT_RUN);
	ck_assert_uint_eq(request_director_open_count(probe.director), 0);
	probe_clear(&probe);
}
END_TEST

/* What the holders say of a key, and what the caller is told. */
static const struct {
	const char *name;
	bool is_answered;
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
	struct request_event event = probe_event(1, CLASS_URGENT, DEADLINE_MS);
	struct probe probe;

	test_row("request_claim", claim_rows[_i].name);
	probe_init(&probe, 4, 3, 1);
	event.is_repeatable = false;
	event.has_idempotency_key = true;
	request_director_arrive(probe.director, &event, 0);
	if (claim_rows[_i].is_answered)
		request_director_claimed(probe.director, 1,
					 claim_rows[_i].result, 3);
	request_director_tick(probe.director, DEADLINE_MS);
	/* A late answer of the holders starts nothing. */
	request_director_claimed(probe.director, 1, CLAIM_GRANTED, DEADLINE_MS);
	ck_assert_uint_eq(probe.start_count, claim_rows[_i].is_started);
	ck_assert_uint_eq(probe.refusal_count, 1);
	ck_assert_int_eq(probe.refusals[0].kind, REFUSAL_UNKNOWN);
	if (!claim_rows[_i].is_started)
		ck_assert_int_eq(probe.refusals[0].reason,
				 claim_rows[_i].reason);
	probe_clear(&probe);
}
END_TEST

/* How long a request may take by itself, and what its attempt gets. */
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
	struct request_event event =
		probe_event(1, CLASS_URGENT, deadline_rows[_i].deadline_ms);
	struct probe probe;

	test_row("request_deadline", deadline_rows[_i].name);
	probe_init(&probe, 4, 3, 1);
	event.is_repeatable = false;
	event.has_idempotency_key = deadline_rows[_i].has_key;
	request_director_arrive(probe.director, &event, 0);
	if (deadline_rows[_i].has_key)
		request_director_claimed(probe.director, 1, CLAIM_GRANTED, 3);
	ck_assert_uint_eq(probe.start_count, 1);
	ck_assert_int_eq(probe.started_due_ms[0], deadline_rows[_i].due_ms);
	probe_clear(&probe);
}
END_TEST

/* Late events of an attempt that timed out or whose caller has gone. */
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
	struct request_event event = probe_event(1, CLASS_URGENT, DEADLINE_MS);
	struct probe probe;

	test_row("request_late", late_rows[_i].name);
	probe_init(&probe, 4, 3, 1);
	event.is_repeatable = late_rows[_i].is_repeatable;
	request_director_arrive(probe.director, &event, 0);
	if (late_rows[_i].is_caller_gone)
		request_director_caller_gone(probe.director, 1, 10);
	request_director_tick(probe.director, probe.started_due_ms[0]);
	ck_assert_uint_eq(probe.cancel_count, 1);
	if (late_rows[_i].is_repeatable) {
		ck_assert_uint_eq(probe.start_count, 2);
		request_director_ended(probe.director, probe.started[1],
				       ATTEMPT_WHOLE, 900);
	}
	request_director_headers(probe.director, probe.started[0], 950);
	request_director_ended(probe.director, probe.started[0], ATTEMPT_WHOLE,
			       950);
	request_director_tick(probe.director, 2 * DEADLINE_MS);
	ck_assert_uint_eq(probe.refusal_count, late_rows[_i].refusals);
	ck_assert_uint_eq(probe.fail_count, 0);
	ck_assert_uint_eq(request_director_open_count(probe.director), 0);
	probe_clear(&probe);
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
