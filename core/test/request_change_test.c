/* Targets, rules, callers and the node itself change under requests. */
#include "request_probe.h"

#define TARGET_COUNT 4
#define REQUEST_COUNT 60
#define DEADLINE_MS 100000

static const enum target_state states[] = {
	['s'] = TARGET_SERVING, ['c'] = TARGET_COLD,	['l'] = TARGET_LEAVING,
	['f'] = TARGET_FAILING, ['x'] = TARGET_CUT_OFF,
};

static struct request_event event_of(uint64_t request_id)
{
	return probe_event(request_id, CLASS_URGENT, DEADLINE_MS);
}

/*
 * What is said of the four targets, by letter; whether each has answered a
 * moment before; which get requests, and why requests are refused if any are.
 */
static const struct {
	const char *name;
	const char *said;
	const char *used;
	enum reason refused;
	bool has_answered;
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

static void answer_from(struct probe *probe, uint32_t start, int64_t now_ms)
{
	request_director_ended(probe->director, probe->started[start],
			       ATTEMPT_WHOLE, now_ms);
}

static int64_t send_one_by_one(struct probe *probe, uint64_t first_id,
			       int64_t now_ms)
{
	for (uint64_t i = 0; i < REQUEST_COUNT; i++) {
		struct request_event event = event_of(first_id + i);
		uint32_t start = probe->start_count;

		request_director_arrive(probe->director, &event, now_ms);
		if (probe->start_count > start)
			answer_from(probe, start, now_ms + 10);
		now_ms += 20;
	}
	return now_ms;
}

static char is_used(const struct probe *probe, uint32_t from, uint32_t target)
{
	uint64_t target_id = probe_target_id(probe, CLASS_URGENT, target);

	for (uint32_t i = from; i < probe->start_count; i++) {
		if (probe->started_target[i] == target_id)
			return '1';
	}
	return '0';
}

START_TEST(test_state)
{
	struct probe probe;
	int64_t now_ms = 10000;
	uint32_t from;

	test_row("request_target", state_rows[_i].name);
	probe_init(&probe, TARGET_COUNT, 3, 1);
	if (state_rows[_i].has_answered)
		now_ms = send_one_by_one(&probe, 1000, now_ms);
	from = probe.start_count;
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		request_director_set_target_state(
			probe.director,
			probe_target_id(&probe, CLASS_URGENT, i),
			states[(int)state_rows[_i].said[i]], now_ms);
	send_one_by_one(&probe, 1, now_ms);
	for (uint32_t i = 0; i < TARGET_COUNT; i++) {
		if (state_rows[_i].used[i] != '?')
			ck_assert_int_eq(is_used(&probe, from, i),
					 state_rows[_i].used[i]);
	}
	ck_assert_int_eq(probe.refusal_count > 0,
			 state_rows[_i].refused != REASON_NONE);
	if (probe.refusal_count > 0) {
		ck_assert_int_eq(probe.refusals[0].reason,
				 state_rows[_i].refused);
		ck_assert_int_eq(probe.refusals[0].kind, REFUSAL_NOT_RUN);
	}
	probe_clear(&probe);
}
END_TEST

/* Where a request is when something happens to it. */
enum stage {
	STAGE_CLAIMING,
	STAGE_WAITING,
	STAGE_RUNNING,
	STAGE_ANSWERING,
};

static void drain(struct probe *probe)
{
	request_director_drain(probe->director, 10);
}

static void rules_same(struct probe *probe)
{
	request_director_set_rules(probe->director, probe->rules, 10);
}

static void rules_gone(struct probe *probe)
{
	struct rule_set *none = rule_set_new(2);

	request_director_set_rules(probe->director, none, 10);
	rule_set_free(none);
}

static void rules_on_other_targets(struct probe *probe)
{
	struct rule_set *rules = rule_set_new(2);
	struct rule *rule = probe_rule("urgent", "normal", 9, 3);

	rule_set_add(rules, rule);
	request_director_set_rules(probe->director, rules, 10);
	rule_set_free(rules);
}

static void caller_goes(struct probe *probe)
{
	request_director_caller_gone(probe->director, 1, 10);
}

static void targets_leave(struct probe *probe)
{
	request_director_set_target_state(
		probe->director, probe_target_id(probe, CLASS_URGENT, 0),
		TARGET_LEAVING, 10);
}

enum end {
	END_ANSWER,
	END_NOT_RUN,
	END_UNKNOWN,
	END_SILENT,
};

/*
 * What happens to a request at a stage, and how it ends when all that it
 * waits for then comes. Nothing in progress is cut by a planned change.
 */
static const struct {
	const char *name;
	void (*change)(struct probe *probe);
	enum stage stage;
	enum end end;
	uint32_t cancel_count;
	uint32_t release_count;
} change_rows[] = {
	{"drain, claiming", drain, STAGE_CLAIMING, END_ANSWER, 0, 0},
	{"drain, waiting", drain, STAGE_WAITING, END_ANSWER, 0, 0},
	{"drain, running", drain, STAGE_RUNNING, END_ANSWER, 0, 0},
	{"drain, answering", drain, STAGE_ANSWERING, END_ANSWER, 0, 0},
	{"same rules, claiming", rules_same, STAGE_CLAIMING, END_ANSWER, 0, 0},
	{"same rules, waiting", rules_same, STAGE_WAITING, END_ANSWER, 0, 0},
	{"same rules, running", rules_same, STAGE_RUNNING, END_ANSWER, 0, 0},
	{"no rules, claiming", rules_gone, STAGE_CLAIMING, END_NOT_RUN, 0, 1},
	{"no rules, waiting", rules_gone, STAGE_WAITING, END_NOT_RUN, 0, 0},
	{"no rules, running", rules_gone, STAGE_RUNNING, END_ANSWER, 0, 0},
	{"no rules, answering", rules_gone, STAGE_ANSWERING, END_ANSWER, 0, 0},
	{"other targets and class, claiming", rules_on_other_targets,
	 STAGE_CLAIMING, END_ANSWER, 0, 0},
	{"other targets and class, waiting", rules_on_other_targets,
	 STAGE_WAITING, END_ANSWER, 0, 0},
	{"other targets and class, running", rules_on_other_targets,
	 STAGE_RUNNING, END_ANSWER, 0, 0},
	{"caller goes, claiming", caller_goes, STAGE_CLAIMING, END_SILENT, 0,
	 1},
	{"caller goes, waiting", caller_goes, STAGE_WAITING, END_SILENT, 0, 0},
	{"caller goes, running", caller_goes, STAGE_RUNNING, END_SILENT, 1, 0},
	{"caller goes, answering", caller_goes, STAGE_ANSWERING, END_SILENT, 1,
	 0},
	{"target leaves, claiming", targets_leave, STAGE_CLAIMING, END_NOT_RUN,
	 0, 1},
	{"target leaves, waiting", targets_leave, STAGE_WAITING, END_NOT_RUN, 0,
	 0},
	{"target leaves, running", targets_leave, STAGE_RUNNING, END_ANSWER, 0,
	 0},
};

/* One target with one slot, so that a second request waits for the first. */
static void bring_to(struct probe *probe, enum stage stage)
{
	struct request_event event = event_of(1);
	struct request_event ahead = event_of(2);
	struct request_event behind = event_of(3);

	if (stage == STAGE_WAITING) {
		request_director_arrive(probe->director, &ahead, 0);
		request_director_arrive(probe->director, &behind, 0);
	}
	event.is_repeatable = stage != STAGE_CLAIMING;
	event.has_idempotency_key = stage == STAGE_CLAIMING;
	event.caller_hash = 5;
	request_director_arrive(probe->director, &event, 0);
	if (stage == STAGE_ANSWERING)
		request_director_headers(probe->director, probe->started[0], 5);
}

static bool was_started(const struct probe *probe)
{
	for (uint32_t i = 0; i < probe->start_count; i++) {
		if (probe->started_request[i] == 1)
			return true;
	}
	return false;
}

static enum end end_of(const struct probe *probe)
{
	for (uint32_t i = 0; i < probe->refusal_count; i++) {
		if (probe->refused_request[i] == 1)
			return probe->refusals[i].kind == REFUSAL_NOT_RUN
				       ? END_NOT_RUN
				       : END_UNKNOWN;
	}
	return was_started(probe) ? END_ANSWER : END_SILENT;
}

START_TEST(test_change)
{
	enum stage stage = change_rows[_i].stage;
	enum end end;
	struct probe probe;

	test_row("request_change", change_rows[_i].name);
	probe_init(&probe, 1, 1, 1);
	bring_to(&probe, stage);
	change_rows[_i].change(&probe);
	if (stage == STAGE_CLAIMING)
		request_director_claimed(probe.director, 1, CLAIM_GRANTED, 20);
	for (uint32_t i = 0; i < probe.start_count; i++)
		answer_from(&probe, i, 30 + i);
	request_director_tick(probe.director, 2 * DEADLINE_MS);
	end = end_of(&probe);
	if (change_rows[_i].end == END_SILENT)
		ck_assert_uint_eq(probe.refusal_count, 0);
	else
		ck_assert_int_eq(end, change_rows[_i].end);
	ck_assert_uint_eq(probe.fail_count, 0);
	ck_assert_uint_eq(probe.cancel_count, change_rows[_i].cancel_count);
	ck_assert_uint_eq(probe.release_count, change_rows[_i].release_count);
	ck_assert_uint_eq(request_director_open_count(probe.director), 0);
	probe_clear(&probe);
}
END_TEST

/* Requests that are refused at once, and what each is told. */
static const struct {
	const char *name;
	void (*change)(struct probe *probe);
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
	{"no service", rules_gone, DEADLINE_MS, 0, REFUSAL_NOT_RUN,
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
	struct request_event event = event_of(1);
	struct probe probe;
	const struct refusal *refusal;
	uint32_t refused;

	test_row("request_refusal", refusal_rows[_i].name);
	probe_init(&probe, 1, 1, 1);
	for (uint32_t i = 0; i < refusal_rows[_i].ahead_count; i++) {
		struct request_event ahead = event_of(100 + i);

		ahead.caller_hash = i;
		request_director_arrive(probe.director, &ahead, 10);
	}
	if (refusal_rows[_i].change)
		refusal_rows[_i].change(&probe);
	refused = probe.refusal_count;
	event.deadline_ms = refusal_rows[_i].deadline_ms;
	event.has_idempotency_key = refusal_rows[_i].has_key;
	event.is_repeatable = false;
	request_director_arrive(probe.director, &event, 20);
	ck_assert_uint_eq(probe.claim_count, refusal_rows[_i].has_key);
	if (refusal_rows[_i].is_granted)
		request_director_claimed(probe.director, 1, CLAIM_GRANTED, 23);
	request_director_tick(probe.director, 29);
	ck_assert_uint_eq(probe.refusal_count, refused + 1);
	refusal = &probe.refusals[refused];
	ck_assert_int_eq(refusal->kind, refusal_rows[_i].kind);
	ck_assert_int_eq(refusal->reason, refusal_rows[_i].reason);
	ck_assert_uint_ge(refusal->retry_after_ms, 1);
	probe_clear(&probe);
}
END_TEST

/* Failing targets, and how many of the four still get requests. */
static const struct {
	const char *name;
	const char *failing;
	uint32_t used_least;
} floor_rows[] = {
	{"one fails", "1000", 3},
	{"two fail", "1100", 3},
	{"all fail", "1111", 3},
};

START_TEST(test_floor)
{
	struct probe probe;
	uint32_t used_count = 0;
	int64_t now_ms = 1;

	test_row("request_ejection", floor_rows[_i].name);
	probe_init(&probe, TARGET_COUNT, 3, 1);
	for (uint64_t i = 0; i < 200; i++) {
		struct request_event event = event_of(1 + i);
		uint32_t start = probe.start_count;
		uint32_t target = 0;

		event.is_repeatable = false;
		request_director_arrive(probe.director, &event, now_ms);
		ck_assert_uint_eq(probe.start_count, start + 1);
		while (probe_target_id(&probe, CLASS_URGENT, target) !=
		       probe.started_target[start])
			target++;
		request_director_ended(probe.director, probe.started[start],
				       floor_rows[_i].failing[target] == '1'
					       ? ATTEMPT_RESET
					       : ATTEMPT_WHOLE,
				       ++now_ms);
	}
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		used_count += is_used(&probe, 150, i) == '1';
	ck_assert_uint_ge(used_count, floor_rows[_i].used_least);
	if (_i == 0)
		ck_assert_int_eq(is_used(&probe, 150, 0), '0');
	probe_clear(&probe);
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
	ADD(test_floor, floor_rows);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
