/* Changes of targets, rules, callers and the node while requests are open. */
#include "request_fixture.h"

#define TARGET_COUNT 4
#define REQUEST_COUNT 60
#define DEADLINE_MS 100000

static const enum target_state states[] = {
	['s'] = TARGET_SERVING, ['c'] = TARGET_COLD,	['l'] = TARGET_LEAVING,
	['f'] = TARGET_FAILING, ['x'] = TARGET_CUT_OFF,
};

static struct request_info urgent_info(uint64_t request_id)
{
	return fixture_info(request_id, CLASS_URGENT, DEADLINE_MS);
}

/*
 * Reported states of the targets by letter, which of them get requests (? is
 * either), the reason of refusals, and whether targets responded just before.
 */
static const struct {
	const char *name;
	const char *reported;
	const char *used;
	enum reason refusal_reason;
	bool has_responded;
} state_rows[] = {
	{"all serve", "ssss", "1111", REASON_NONE, false},
	{"one leaves", "lsss", "0111", REASON_NONE, true},
	{"one is cut off", "sxss", "1011", REASON_NONE, true},
	{"one fails", "ssfs", "1101", REASON_NONE, false},
	{"one is said to fail but answers", "ssfs", "1111", REASON_NONE, true},
	{"one is cold", "sssc", "1111", REASON_NONE, false},
	{"all are said to fail", "ffff", "????", REASON_NONE, false},
	{"all are cold", "cccc", "????", REASON_NONE, false},
	{"all leave", "llll", "0000", REASON_NO_TARGET, true},
	{"all leave or are cut off", "lxlx", "0000", REASON_NO_TARGET, true},
};

static void end_attempt(struct fixture *fixture, uint32_t i, int64_t now_ms)
{
	request_director_record_end(fixture->director, fixture->attempt_ids[i],
				    ATTEMPT_COMPLETE, now_ms);
}

static int64_t send_one_by_one(struct fixture *fixture, uint64_t first_id,
			       int64_t now_ms)
{
	for (uint64_t i = 0; i < REQUEST_COUNT; i++) {
		struct request_info info = urgent_info(first_id + i);
		uint32_t start = fixture->start_count;

		request_director_submit(fixture->director, &info, now_ms);
		if (fixture->start_count > start)
			end_attempt(fixture, start, now_ms + 10);
		now_ms += 20;
	}
	return now_ms;
}

static char used_letter(const struct fixture *fixture, uint32_t from,
			uint32_t target)
{
	uint64_t target_id = fixture_target_id(fixture, CLASS_URGENT, target);

	for (uint32_t i = from; i < fixture->start_count; i++) {
		if (fixture->started_target[i] == target_id)
			return '1';
	}
	return '0';
}

START_TEST(test_state)
{
	struct fixture fixture;
	int64_t now_ms = 10000;
	uint32_t from;

	test_row("request_target", state_rows[_i].name);
	fixture_init(&fixture, TARGET_COUNT, 3, 1);
	if (state_rows[_i].has_responded)
		now_ms = send_one_by_one(&fixture, 1000, now_ms);
	from = fixture.start_count;
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		request_director_set_target_state(
			fixture.director,
			fixture_target_id(&fixture, CLASS_URGENT, i),
			states[(int)state_rows[_i].reported[i]], now_ms);
	send_one_by_one(&fixture, 1, now_ms);
	for (uint32_t i = 0; i < TARGET_COUNT; i++) {
		if (state_rows[_i].used[i] != '?')
			ck_assert_int_eq(used_letter(&fixture, from, i),
					 state_rows[_i].used[i]);
	}
	ck_assert_int_eq(fixture.refusal_count > 0,
			 state_rows[_i].refusal_reason != REASON_NONE);
	if (fixture.refusal_count > 0) {
		ck_assert_int_eq(fixture.refusals[0].reason,
				 state_rows[_i].refusal_reason);
		ck_assert_int_eq(fixture.refusals[0].kind, REFUSAL_NOT_RUN);
	}
	fixture_clear(&fixture);
}
END_TEST

/* The state of a request when the change occurs. */
enum stage {
	STAGE_CLAIMING,
	STAGE_WAITING,
	STAGE_RUNNING,
	STAGE_RESPONDING,
};

static void drain(struct fixture *fixture)
{
	request_director_drain(fixture->director, 10);
}

static void keep_rules(struct fixture *fixture)
{
	request_director_set_rules(fixture->director, fixture->rules, 10);
}

static void drop_rules(struct fixture *fixture)
{
	struct rule_set *none = rule_set_new(2);

	request_director_set_rules(fixture->director, none, 10);
	rule_set_free(none);
}

static void set_other_rules(struct fixture *fixture)
{
	struct rule_set *rules = rule_set_new(2);
	struct rule *rule = fixture_rule("urgent", "normal", 9, 3);

	rule_set_add(rules, rule);
	request_director_set_rules(fixture->director, rules, 10);
	rule_set_free(rules);
}

static void disconnect(struct fixture *fixture)
{
	request_director_handle_disconnect(fixture->director, 1, 10);
}

static void set_leaving(struct fixture *fixture)
{
	request_director_set_target_state(
		fixture->director, fixture_target_id(fixture, CLASS_URGENT, 0),
		TARGET_LEAVING, 10);
}

enum result {
	RESULT_OK,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_NONE,
};

/*
 * A change at a stage of a request, and its result once the claim is granted
 * and the attempt is complete. A planned change never interrupts an attempt.
 */
static const struct {
	const char *name;
	void (*change)(struct fixture *fixture);
	enum stage stage;
	enum result result;
	uint32_t cancel_count;
	uint32_t release_count;
} change_rows[] = {
	{"drain, claiming", drain, STAGE_CLAIMING, RESULT_OK, 0, 0},
	{"drain, waiting", drain, STAGE_WAITING, RESULT_OK, 0, 0},
	{"drain, running", drain, STAGE_RUNNING, RESULT_OK, 0, 0},
	{"drain, answering", drain, STAGE_RESPONDING, RESULT_OK, 0, 0},
	{"same rules, claiming", keep_rules, STAGE_CLAIMING, RESULT_OK, 0, 0},
	{"same rules, waiting", keep_rules, STAGE_WAITING, RESULT_OK, 0, 0},
	{"same rules, running", keep_rules, STAGE_RUNNING, RESULT_OK, 0, 0},
	{"no rules, claiming", drop_rules, STAGE_CLAIMING, RESULT_NOT_RUN, 0,
	 1},
	{"no rules, waiting", drop_rules, STAGE_WAITING, RESULT_NOT_RUN, 0, 0},
	{"no rules, running", drop_rules, STAGE_RUNNING, RESULT_OK, 0, 0},
	{"no rules, answering", drop_rules, STAGE_RESPONDING, RESULT_OK, 0, 0},
	{"other targets and class, claiming", set_other_rules, STAGE_CLAIMING,
	 RESULT_OK, 0, 0},
	{"other targets and class, waiting", set_other_rules, STAGE_WAITING,
	 RESULT_OK, 0, 0},
	{"other targets and class, running", set_other_rules, STAGE_RUNNING,
	 RESULT_OK, 0, 0},
	{"caller goes, claiming", disconnect, STAGE_CLAIMING, RESULT_NONE, 0,
	 1},
	{"caller goes, waiting", disconnect, STAGE_WAITING, RESULT_NONE, 0, 0},
	{"caller goes, running", disconnect, STAGE_RUNNING, RESULT_NONE, 1, 0},
	{"caller goes, answering", disconnect, STAGE_RESPONDING, RESULT_NONE, 1,
	 0},
	{"target leaves, claiming", set_leaving, STAGE_CLAIMING, RESULT_NOT_RUN,
	 0, 1},
	{"target leaves, waiting", set_leaving, STAGE_WAITING, RESULT_NOT_RUN,
	 0, 0},
	{"target leaves, running", set_leaving, STAGE_RUNNING, RESULT_OK, 0, 0},
};

/* With one target and one slot, requests behind the first one wait. */
static void advance_to_stage(struct fixture *fixture, enum stage stage)
{
	struct request_info info = urgent_info(1);
	struct request_info ahead = urgent_info(2);
	struct request_info behind = urgent_info(3);

	if (stage == STAGE_WAITING) {
		request_director_submit(fixture->director, &ahead, 0);
		request_director_submit(fixture->director, &behind, 0);
	}
	info.is_repeatable = stage != STAGE_CLAIMING;
	info.has_idempotency_key = stage == STAGE_CLAIMING;
	info.caller_hash = 5;
	request_director_submit(fixture->director, &info, 0);
	if (stage == STAGE_RESPONDING)
		request_director_record_headers(fixture->director,
						fixture->attempt_ids[0], 5);
}

static bool was_started(const struct fixture *fixture)
{
	for (uint32_t i = 0; i < fixture->start_count; i++) {
		if (fixture->started_request[i] == 1)
			return true;
	}
	return false;
}

static enum result request_result(const struct fixture *fixture)
{
	for (uint32_t i = 0; i < fixture->refusal_count; i++) {
		if (fixture->refused_request[i] == 1)
			return fixture->refusals[i].kind == REFUSAL_NOT_RUN
				       ? RESULT_NOT_RUN
				       : RESULT_UNKNOWN;
	}
	return was_started(fixture) ? RESULT_OK : RESULT_NONE;
}

START_TEST(test_change)
{
	enum stage stage = change_rows[_i].stage;
	enum result result;
	struct fixture fixture;

	test_row("request_change", change_rows[_i].name);
	fixture_init(&fixture, 1, 1, 1);
	advance_to_stage(&fixture, stage);
	change_rows[_i].change(&fixture);
	if (stage == STAGE_CLAIMING)
		request_director_handle_claim_result(fixture.director, 1,
						     CLAIM_GRANTED, 20);
	for (uint32_t i = 0; i < fixture.start_count; i++)
		end_attempt(&fixture, i, 30 + i);
	request_director_tick(fixture.director, 2 * DEADLINE_MS);
	result = request_result(&fixture);
	if (change_rows[_i].result == RESULT_NONE)
		ck_assert_uint_eq(fixture.refusal_count, 0);
	else
		ck_assert_int_eq(result, change_rows[_i].result);
	ck_assert_uint_eq(fixture.fail_count, 0);
	ck_assert_uint_eq(fixture.cancel_count, change_rows[_i].cancel_count);
	ck_assert_uint_eq(fixture.release_count, change_rows[_i].release_count);
	ck_assert_uint_eq(request_director_open_count(fixture.director), 0);
	fixture_clear(&fixture);
}
END_TEST

/* Requests that are refused on arrival, and the refusal that each gets. */
static const struct {
	const char *name;
	void (*change)(struct fixture *fixture);
	int64_t deadline_ms;
	uint32_t ahead_count;
	enum refusal_kind kind;
	enum reason reason;
	bool has_key;
	bool is_granted;
} refusal_rows[] = {
	{"draining", drain, DEADLINE_MS, 0, REFUSAL_NOT_RUN, REASON_DRAINING,
	 false, false},
	{"draining, key claimed", drain, DEADLINE_MS, 0, REFUSAL_NOT_RUN,
	 REASON_DRAINING, true, true},
	{"draining, key unknown", drain, DEADLINE_MS, 0, REFUSAL_UNKNOWN,
	 REASON_KEY_UNKNOWN, true, false},
	{"no service", drop_rules, DEADLINE_MS, 0, REFUSAL_NOT_RUN,
	 REASON_NO_SERVICE, false, false},
	{"deadline over", NULL, 20, 0, REFUSAL_NOT_RUN, REASON_DEADLINE, false,
	 false},
	{"queue full", NULL, DEADLINE_MS, 300, REFUSAL_NOT_RUN,
	 REASON_QUEUE_FULL, false, false},
	{"queue full, key claimed", NULL, DEADLINE_MS, 300, REFUSAL_NOT_RUN,
	 REASON_QUEUE_FULL, true, true},
	{"queue full, key unknown", NULL, DEADLINE_MS, 300, REFUSAL_UNKNOWN,
	 REASON_KEY_UNKNOWN, true, false},
};

START_TEST(test_refusal)
{
	struct request_info info = urgent_info(1);
	struct fixture fixture;
	const struct refusal *refusal;
	uint32_t previous_refusal_count;

	test_row("request_refusal", refusal_rows[_i].name);
	fixture_init(&fixture, 1, 1, 1);
	for (uint32_t i = 0; i < refusal_rows[_i].ahead_count; i++) {
		struct request_info ahead = urgent_info(100 + i);

		ahead.caller_hash = i;
		request_director_submit(fixture.director, &ahead, 10);
	}
	if (refusal_rows[_i].change)
		refusal_rows[_i].change(&fixture);
	previous_refusal_count = fixture.refusal_count;
	info.deadline_ms = refusal_rows[_i].deadline_ms;
	info.has_idempotency_key = refusal_rows[_i].has_key;
	info.is_repeatable = false;
	request_director_submit(fixture.director, &info, 20);
	ck_assert_uint_eq(fixture.claim_count, refusal_rows[_i].has_key);
	if (refusal_rows[_i].is_granted)
		request_director_handle_claim_result(fixture.director, 1,
						     CLAIM_GRANTED, 23);
	request_director_tick(fixture.director, 29);
	ck_assert_uint_eq(fixture.refusal_count, previous_refusal_count + 1);
	refusal = &fixture.refusals[previous_refusal_count];
	ck_assert_int_eq(refusal->kind, refusal_rows[_i].kind);
	ck_assert_int_eq(refusal->reason, refusal_rows[_i].reason);
	ck_assert_uint_ge(refusal->retry_after_ms, 1);
	fixture_clear(&fixture);
}
END_TEST

/* failing_targets[i] is '1' if target i fails; at least min_used are used. */
static const struct {
	const char *name;
	const char *failing_targets;
	uint32_t min_used;
} ejection_rows[] = {
	{"one fails", "1000", 3},
	{"two fail", "1100", 3},
	{"all fail", "1111", 3},
};

START_TEST(test_ejection)
{
	struct fixture fixture;
	uint32_t used_count = 0;
	int64_t now_ms = 1;

	test_row("request_ejection", ejection_rows[_i].name);
	fixture_init(&fixture, TARGET_COUNT, 3, 1);
	for (uint64_t i = 0; i < 200; i++) {
		struct request_info info = urgent_info(1 + i);
		uint32_t start = fixture.start_count;
		uint32_t target = 0;

		info.is_repeatable = false;
		request_director_submit(fixture.director, &info, now_ms);
		ck_assert_uint_eq(fixture.start_count, start + 1);
		while (fixture_target_id(&fixture, CLASS_URGENT, target) !=
		       fixture.started_target[start])
			target++;
		request_director_record_end(
			fixture.director, fixture.attempt_ids[start],
			ejection_rows[_i].failing_targets[target] == '1'
				? ATTEMPT_RESET
				: ATTEMPT_COMPLETE,
			++now_ms);
	}
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		used_count += used_letter(&fixture, 150, i) == '1';
	ck_assert_uint_ge(used_count, ejection_rows[_i].min_used);
	if (_i == 0)
		ck_assert_int_eq(used_letter(&fixture, 150, 0), '0');
	fixture_clear(&fixture);
}
END_TEST

#define ADD(test, rows)                                                        \
	tcase_add_loop_test(tcase, test, 0, sizeof(rows) / sizeof((rows)[0]))

int main(void)
{
	Suite *suite = suite_create("request_change");
	TCase *tcase = tcase_create("change");

	ADD(test_state, state_rows);
	ADD(test_change, change_rows);
	ADD(test_refusal, refusal_rows);
	ADD(test_ejection, ejection_rows);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
