/* Queues, admission, outlier detection and retry budgets, each on its own. */
#include <core/admission.h>
#include <core/class_queue.h>
#include <core/outlier.h>
#include <core/retry_budget.h>
#include <core/slow_start.h>
#include <core/target_choice.h>
#include <core/target_limit.h>
#include <fakes/test_main.h>
#include <string.h>

/*
 * The number of requests that each of callers 1 to 3 pushes, how many of them
 * the queue accepts, and the order in which it serves the callers.
 */
static const struct {
	const char *name;
	uint32_t limit;
	uint32_t pushes[3];
	uint32_t queued[3];
	const char *served;
} queue_rows[] = {
	{"one caller fills it", 4, {9, 0, 0}, {4, 0, 0}, "1111"},
	{"late callers find their part", 6, {3, 9, 9}, {3, 3, 0}, "121212"},
	{"a flood leaves the others theirs",
	 9,
	 {2, 1, 20},
	 {2, 1, 3},
	 "123133"},
	{"more callers than places", 2, {1, 1, 1}, {1, 1, 0}, "12"},
	{"no places", 0, {1, 1, 1}, {0, 0, 0}, ""},
};

START_TEST(test_queue)
{
	struct class_queue *queue = class_queue_new(100, 1000);
	GString *served = g_string_new(NULL);
	uint64_t request_id;

	test_row("class_queue", queue_rows[_i].name);
	for (uint32_t caller = 0; caller < 3; caller++) {
		uint32_t queued = 0;

		for (uint32_t i = 0; i < queue_rows[_i].pushes[caller]; i++) {
			if (!class_queue_has_room(queue, caller + 1,
						  queue_rows[_i].limit, 0))
				continue;
			class_queue_push(queue, caller + 1, caller + 1, 0);
			queued++;
		}
		ck_assert_uint_eq(queued, queue_rows[_i].queued[caller]);
	}
	while (class_queue_peek(queue, &request_id, 0) &&
	       class_queue_pop(queue, &request_id))
		g_string_append_printf(served, "%u", (unsigned)request_id);
	ck_assert_str_eq(served->str, queue_rows[_i].served);
	ck_assert_uint_eq(class_queue_length(queue), 0);
	g_string_free(served, TRUE);
	class_queue_free(queue);
}
END_TEST

/* Requests queued by one of ten callers, and whether it may add another. */
static const struct {
	const char *name;
	uint32_t queued;
	bool has_room;
} share_rows[] = {
	{"empty", 0, true},
	{"a third less one taken", 2, true},
	{"a third taken", 3, false},
	{"full", 9, false},
};

START_TEST(test_share)
{
	struct class_queue *queue = class_queue_new(100, 1000);

	test_row("class_queue_contest", share_rows[_i].name);
	for (uint64_t caller = 10; caller < 19; caller++)
		class_queue_has_room(queue, caller, 9, 0);
	for (uint32_t i = 0; i < share_rows[_i].queued; i++)
		class_queue_push(queue, 1, i, 0);
	ck_assert_int_eq(class_queue_has_room(queue, 1, 9, 0),
			 share_rows[_i].has_room);
	class_queue_free(queue);
}
END_TEST

/*
 * Requests 1 and 2 are of caller 1, request 3 is of caller 2; first is the
 * request that the queue serves first.
 */
static const struct {
	const char *name;
	int64_t waiting_since_ms[3];
	uint64_t removed;
	uint64_t put_back;
	uint64_t first;
} order_rows[] = {
	{"the first caller's turn", {0, 0, 0}, 0, 0, 1},
	{"the other caller's when that has gone", {0, 0, 0}, 1, 0, 2},
	{"put back goes first", {0, 0, 0}, 0, 9, 9},
	{"overdue goes first", {900, 900, 0}, 0, 0, 3},
};

START_TEST(test_order)
{
	struct class_queue *queue = class_queue_new(100, 1000);
	uint64_t request_id;

	test_row("class_queue_order", order_rows[_i].name);
	for (uint64_t i = 0; i < 3; i++)
		class_queue_push(queue, 1 + i / 2, 1 + i,
				 order_rows[_i].waiting_since_ms[i]);
	if (order_rows[_i].removed)
		ck_assert(class_queue_remove(queue, 1, order_rows[_i].removed));
	if (order_rows[_i].put_back)
		class_queue_push_front(queue, 3, order_rows[_i].put_back, 0);
	ck_assert(!class_queue_remove(queue, 2, 77));
	ck_assert(class_queue_peek(queue, &request_id,
				   order_rows[_i].waiting_since_ms[0] + 100));
	ck_assert_uint_eq(request_id, order_rows[_i].first);
	class_queue_free(queue);
}
END_TEST

#define NO_CLASS CLASS_COUNT

/*
 * Requests in flight for a second, by class; share and limit in thousandths of
 * a request; and the class that may start next when every class has waiting
 * requests.
 */
static const struct {
	const char *name;
	uint32_t in_flight[CLASS_COUNT];
	uint32_t share_milli;
	uint32_t limit_milli;
	int next;
} admission_rows[] = {
	{"idle", {0, 0, 0}, 5000, 7500, CLASS_URGENT},
	{"urgent at its sure share", {3, 0, 0}, 5000, 7500, CLASS_NORMAL},
	{"bulk's sure share in an urgent flood",
	 {6, 2, 0},
	 5000,
	 7500,
	 CLASS_BULK},
	{"bulk in flight does not hold up urgent",
	 {4, 2, 4},
	 5000,
	 7500,
	 CLASS_URGENT},
	{"all shares used", {6, 2, 1}, 5000, 7500, NO_CLASS},
	{"share below one", {0, 0, 0}, 300, 450, CLASS_URGENT},
	{"share below one, used", {1, 1, 1}, 300, 450, NO_CLASS},
	{"nothing to share", {0, 0, 0}, 0, 0, NO_CLASS},
};

START_TEST(test_admission)
{
	static const bool has_waiting[CLASS_COUNT] = {true, true, true};
	struct admission_limits limits = {admission_rows[_i].share_milli,
					  admission_rows[_i].limit_milli};
	struct admission admission;
	enum work_class next;
	bool may_start;

	test_row("admission", admission_rows[_i].name);
	admission_init(&admission);
	for (int i = 0; i < CLASS_COUNT; i++)
		admission_add_in_flight(
			&admission, (enum work_class)i,
			(int32_t)admission_rows[_i].in_flight[i], 0);
	may_start = admission_next_class(&admission, &limits, has_waiting,
					 &next, 1000);
	ck_assert_int_eq(may_start ? (int)next : NO_CLASS,
			 admission_rows[_i].next);
}
END_TEST

/* With a share of 3 slots over 8 nodes, a node uses 35 to 50 % of a slot. */
START_TEST(test_pacing)
{
	static const bool has_waiting[CLASS_COUNT] = {true, false, false};
	struct admission_limits limits = {375, 375};
	struct admission admission;
	uint32_t used_ms = 0;
	int64_t end_ms = 0;
	enum work_class next;

	test_row("admission", "pacing");
	admission_init(&admission);
	for (int64_t now_ms = 1; now_ms <= 100000; now_ms++) {
		if (now_ms == end_ms)
			admission_add_in_flight(&admission, CLASS_URGENT, -1,
						now_ms);
		if (now_ms >= end_ms &&
		    admission_next_class(&admission, &limits, has_waiting,
					 &next, now_ms)) {
			admission_add_in_flight(&admission, CLASS_URGENT, 1,
						now_ms);
			end_ms = now_ms + 40;
		}
		used_ms += now_ms < end_ms;
	}
	ck_assert_uint_ge(used_ms, 35000);
	ck_assert_uint_le(used_ms, 50000);
}
END_TEST

/* How many targets of a service may be ejected at once: never a majority. */
static const struct {
	const char *name;
	uint32_t target_count;
	uint32_t limit;
} ejection_rows[] = {
	{"none", 0, 0},	    {"one", 1, 0},	  {"two", 2, 0},
	{"three", 3, 1},    {"four", 4, 1},	  {"five", 5, 2},
	{"fifteen", 15, 5}, {"hundred", 100, 30},
};

START_TEST(test_ejection)
{
	test_row("ejection_limit", ejection_rows[_i].name);
	ck_assert_uint_eq(
		outlier_ejection_limit(ejection_rows[_i].target_count),
		ejection_rows[_i].limit);
}
END_TEST

/* f is a failure, s a success, . one second; is_ejected is the final state. */
static const struct {
	const char *name;
	const char *events;
	bool is_ejected;
} outlier_rows[] = {
	{"four failures", "ffff", false},
	{"five failures", "fffff", true},
	{"success in between", "ffffsffff", false},
	{"back after a second", "fffff.", false},
	{"one failure after coming back", "fffff.f", true},
	{"twice as long the second time", "fffff.f.", true},
	{"back the second time", "fffff.f..", false},
	{"success forgives", "fffff.sf", false},
};

START_TEST(test_outlier)
{
	struct outlier outlier = {.failure_count = 0};
	int64_t now_ms = 1;

	test_row("outlier", outlier_rows[_i].name);
	for (const char *event = outlier_rows[_i].events; *event; event++) {
		if (*event == '.')
			now_ms += 1000;
		else if (*event == 's')
			outlier_record_success(&outlier, now_ms);
		else if (outlier_record_failure(&outlier))
			outlier_eject(&outlier, now_ms);
	}
	ck_assert_int_eq(outlier_is_ejected(&outlier, now_ms),
			 outlier_rows[_i].is_ejected);
}
END_TEST

/* Retries spent, first attempts after that, and retries allowed out of ten. */
static const struct {
	const char *name;
	uint32_t spent_before;
	uint32_t first_attempts;
	uint32_t allowed;
} budget_rows[] = {
	{"full at first", 0, 0, 3},
	{"empty", 3, 0, 0},
	{"nine attempts earn none", 3, 9, 0},
	{"ten attempts earn one", 3, 10, 1},
	{"no more than the limit", 3, 1000, 3},
};

START_TEST(test_budget)
{
	struct retry_budget budget;
	uint32_t allowed = 0;

	test_row("retry_budget", budget_rows[_i].name);
	retry_budget_init(&budget, 100, 3000);
	for (uint32_t i = 0; i < budget_rows[_i].spent_before; i++)
		ck_assert(retry_budget_spend(&budget));
	for (uint32_t i = 0; i < budget_rows[_i].first_attempts; i++)
		retry_budget_earn(&budget);
	for (uint32_t i = 0; i < 10; i++)
		allowed += retry_budget_spend(&budget);
	ck_assert_uint_eq(allowed, budget_rows[_i].allowed);
}
END_TEST

#define ADD(test, rows)                                                        \
	tcase_add_loop_test(tcase, test, 0, sizeof(rows) / sizeof((rows)[0]))

int main(void)
{
	Suite *suite = suite_create("request_parts");
	TCase *tcase = tcase_create("parts");

	ADD(test_queue, queue_rows);
	ADD(test_share, share_rows);
	ADD(test_order, order_rows);
	ADD(test_admission, admission_rows);
	tcase_add_test(tcase, test_pacing);
	ADD(test_ejection, ejection_rows);
	ADD(test_outlier, outlier_rows);
	ADD(test_budget, budget_rows);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
