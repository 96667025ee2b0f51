#include <core/admission.h>

#define UNIT_MILLI 1000
#define CLASS_WINDOW_MS 1000
#define TOTAL_WINDOW_MS 100
#define SPARE_PERCENT 70

/*
 * sure_percent of the node's share of the pool belongs to the class whatever
 * floods in. Beyond it a class may start while less than open_percent of the
 * limit is in flight; for bulk, while less than that part of the share is bulk.
 */
struct class_policy {
	uint32_t sure_percent;
	uint32_t open_percent;
};

static const struct class_policy policies[CLASS_COUNT] = {
	[CLASS_URGENT] = {50, 100},
	[CLASS_NORMAL] = {30, 90},
	[CLASS_BULK] = {8, 25},
};

/* Starts with nothing in flight. */
void admission_init(struct admission *admission)
{
	usage_average_init(&admission->total, TOTAL_WINDOW_MS);
	for (int i = 0; i < CLASS_COUNT; i++)
		usage_average_init(&admission->by_class[i], CLASS_WINDOW_MS);
}

/* Notes that an attempt of a class began (1) or ended (-1). */
void admission_changed(struct admission *admission, enum work_class work_class,
		       int32_t difference, int64_t now_ms)
{
	if (work_class != CLASS_BULK)
		usage_average_change(&admission->total, difference, now_ms);
	usage_average_change(&admission->by_class[work_class], difference,
			     now_ms);
}

static uint32_t sure_milli(enum work_class work_class,
			   const struct admission_limits *limits)
{
	return limits->share_milli * policies[work_class].sure_percent / 100;
}

/* Whether less than a limit below or above one is in flight, on average too. */
static bool is_below(struct usage_average *usage, uint32_t limit_milli,
		     int64_t now_ms)
{
	if (usage->in_flight * UNIT_MILLI >= limit_milli)
		return false;
	return usage_average_milli(usage, now_ms) < limit_milli;
}

static bool is_sure(struct admission *admission, enum work_class work_class,
		    const struct admission_limits *limits, int64_t now_ms)
{
	return is_below(&admission->by_class[work_class],
			sure_milli(work_class, limits), now_ms);
}

/* Bulk fills what the others leave of the share, and its own part only. */
static bool is_open_to_bulk(struct admission *admission,
			    const struct admission_limits *limits,
			    int64_t now_ms)
{
	struct usage_average *bulk = &admission->by_class[CLASS_BULK];
	uint32_t percent = policies[CLASS_BULK].open_percent;
	uint32_t used_milli = usage_average_milli(&admission->total, now_ms) +
			      usage_average_milli(bulk, now_ms);

	return is_below(bulk, limits->share_milli * percent / 100, now_ms) &&
	       used_milli < limits->share_milli * SPARE_PERCENT / 100;
}

static bool is_open(struct admission *admission, enum work_class work_class,
		    const struct admission_limits *limits, int64_t now_ms)
{
	uint32_t percent = policies[work_class].open_percent;

	if (work_class == CLASS_BULK)
		return is_open_to_bulk(admission, limits, now_ms);
	return is_below(&admission->total, limits->limit_milli * percent / 100,
			now_ms);
}

/*
 * Picks the class that may start next among those that wait; returns false
 * when none may. Bulk in flight is not counted against the others: its own
 * bounds keep it small, and they must not wait for it.
 */
bool admission_next(struct admission *admission,
		    const struct admission_limits *limits,
		    const bool has_waiting[CLASS_COUNT],
		    enum work_class *work_class, int64_t now_ms)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		*work_class = (enum work_class)i;
		if (has_waiting[i] &&
		    is_sure(admission, *work_class, limits, now_ms))
			return true;
	}
	for (int i = 0; i < CLASS_COUNT; i++) {
		*work_class = (enum work_class)i;
		if (has_waiting[i] &&
		    is_open(admission, *work_class, limits, now_ms))
			return true;
	}
	return false;
}

static uint32_t above(uint32_t value, uint32_t floor)
{
	return value > floor ? value - floor : 0;
}

/*
 * Returns the part of the pool that a class can count on, in thousandths of a
 * request: its sure share, or what the others left it of late when that is
 * more. Bulk may lose all but the former at any moment.
 */
uint32_t admission_part_milli(struct admission *admission,
			      enum work_class work_class,
			      const struct admission_limits *limits,
			      int64_t now_ms)
{
	uint32_t sure = sure_milli(work_class, limits);
	uint32_t all = usage_average_milli(&admission->total, now_ms);
	uint32_t own =
		usage_average_milli(&admission->by_class[work_class], now_ms);
	uint32_t left = above(limits->limit_milli *
				      policies[work_class].open_percent / 100,
			      above(all, own));

	if (work_class == CLASS_BULK)
		return sure;
	return sure > left ? sure : left;
}

/*
 * Returns when a class that had its share may start again although nothing
 * ends before, INT64_MAX for never.
 */
int64_t admission_retry_ms(struct admission *admission,
			   const struct admission_limits *limits,
			   int64_t now_ms)
{
	int64_t retry_ms = INT64_MAX;
	int64_t due_ms = usage_average_below_ms(&admission->total,
						limits->limit_milli, now_ms);

	if (due_ms > now_ms)
		retry_ms = due_ms;
	for (int i = 0; i < CLASS_COUNT; i++) {
		due_ms = usage_average_below_ms(
			&admission->by_class[i],
			sure_milli((enum work_class)i, limits), now_ms);
		if (due_ms > now_ms && due_ms < retry_ms)
			retry_ms = due_ms;
	}
	return retry_ms;
}
