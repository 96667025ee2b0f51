#include <core/admission.h>

#define MILLI_PER_REQUEST 1000
#define CLASS_USAGE_WINDOW_MS 1000
#define NON_BULK_USAGE_WINDOW_MS 100
#define BULK_UTILIZATION_MAX_PERCENT 70

/*
 * The share is share_milli of struct admission_limits, the limit is its
 * limit_milli. A request of any class may start while its class uses less than
 * guaranteed_percent of the share, however many requests of other classes are
 * in flight. An urgent or normal request may also start while these two classes
 * together use less than burst_percent of the limit. A bulk request may also
 * start while bulk uses less than burst_percent of the share and all classes
 * together use less than BULK_UTILIZATION_MAX_PERCENT of the share.
 */
struct class_policy {
	uint32_t guaranteed_percent;
	uint32_t burst_percent;
};

static const struct class_policy policies[CLASS_COUNT] = {
	[CLASS_URGENT] = {50, 100},
	[CLASS_NORMAL] = {30, 90},
	[CLASS_BULK] = {8, 25},
};

/* Initializes the admission with nothing in flight. */
void admission_init(struct admission *admission)
{
	usage_average_init(&admission->non_bulk, NON_BULK_USAGE_WINDOW_MS);
	for (int i = 0; i < CLASS_COUNT; i++)
		usage_average_init(&admission->by_class[i],
				   CLASS_USAGE_WINDOW_MS);
}

/* Records that attempts of a class started (1 each) or ended (-1 each). */
void admission_add_in_flight(struct admission *admission,
			     enum work_class work_class, int32_t delta,
			     int64_t now_ms)
{
	if (work_class != CLASS_BULK)
		usage_average_add(&admission->non_bulk, delta, now_ms);
	usage_average_add(&admission->by_class[work_class], delta, now_ms);
}

static uint32_t guaranteed_milli(enum work_class work_class,
				 const struct admission_limits *limits)
{
	return limits->share_milli * policies[work_class].guaranteed_percent /
	       100;
}

/*
 * Returns whether both the number of requests in flight and its average are
 * below a limit. With a limit below one request the number in flight is below
 * it only when it is zero; the average then sets how often a request may start.
 */
static bool is_below(struct usage_average *usage, uint32_t limit_milli,
		     int64_t now_ms)
{
	if (usage->in_flight * MILLI_PER_REQUEST >= limit_milli)
		return false;
	return usage_average_milli(usage, now_ms) < limit_milli;
}

static bool is_within_guarantee(struct admission *admission,
				enum work_class work_class,
				const struct admission_limits *limits,
				int64_t now_ms)
{
	return is_below(&admission->by_class[work_class],
			guaranteed_milli(work_class, limits), now_ms);
}

/* Bulk is limited both by its own usage and by that of all classes together. */
static bool is_bulk_within_burst(struct admission *admission,
				 const struct admission_limits *limits,
				 int64_t now_ms)
{
	struct usage_average *bulk = &admission->by_class[CLASS_BULK];
	uint32_t percent = policies[CLASS_BULK].burst_percent;
	uint32_t used_milli =
		usage_average_milli(&admission->non_bulk, now_ms) +
		usage_average_milli(bulk, now_ms);

	return is_below(bulk, limits->share_milli * percent / 100, now_ms) &&
	       used_milli <
		       limits->share_milli * BULK_UTILIZATION_MAX_PERCENT / 100;
}

static bool is_within_burst(struct admission *admission,
			    enum work_class work_class,
			    const struct admission_limits *limits,
			    int64_t now_ms)
{
	uint32_t percent = policies[work_class].burst_percent;

	if (work_class == CLASS_BULK)
		return is_bulk_within_burst(admission, limits, now_ms);
	return is_below(&admission->non_bulk,
			limits->limit_milli * percent / 100, now_ms);
}

/*
 * Picks the class that may start next among those with waiting requests;
 * returns false when none may. Bulk requests in flight do not count against the
 * other classes, which must not wait for them; bulk's own limits keep them few.
 */
bool admission_next_class(struct admission *admission,
			  const struct admission_limits *limits,
			  const bool has_waiting[CLASS_COUNT],
			  enum work_class *work_class, int64_t now_ms)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		*work_class = (enum work_class)i;
		if (has_waiting[i] &&
		    is_within_guarantee(admission, *work_class, limits, now_ms))
			return true;
	}
	for (int i = 0; i < CLASS_COUNT; i++) {
		*work_class = (enum work_class)i;
		if (has_waiting[i] &&
		    is_within_burst(admission, *work_class, limits, now_ms))
			return true;
	}
	return false;
}

static uint32_t saturating_subtract(uint32_t value, uint32_t subtrahend)
{
	return value > subtrahend ? value - subtrahend : 0;
}

/*
 * Returns the concurrency that a class can expect, in thousandths of a request:
 * its guaranteed share, or what other classes left unused on average if that is
 * more. For bulk it is the guaranteed share only, because the other classes may
 * use the rest at any time.
 */
uint32_t admission_available_milli(struct admission *admission,
				   enum work_class work_class,
				   const struct admission_limits *limits,
				   int64_t now_ms)
{
	uint32_t guaranteed = guaranteed_milli(work_class, limits);
	uint32_t non_bulk_milli =
		usage_average_milli(&admission->non_bulk, now_ms);
	uint32_t own_milli =
		usage_average_milli(&admission->by_class[work_class], now_ms);
	uint32_t unused_milli = saturating_subtract(
		limits->limit_milli * policies[work_class].burst_percent / 100,
		saturating_subtract(non_bulk_milli, own_milli));

	if (work_class == CLASS_BULK)
		return guaranteed;
	return guaranteed > unused_milli ? guaranteed : unused_milli;
}

/*
 * Returns the earliest time when average usage falls below a limit, so that a
 * class may start again even if no attempt ends before; INT64_MAX for never.
 */
int64_t admission_retry_ms(struct admission *admission,
			   const struct admission_limits *limits,
			   int64_t now_ms)
{
	int64_t retry_ms = INT64_MAX;
	int64_t due_ms = usage_average_below_ms(&admission->non_bulk,
						limits->limit_milli, now_ms);

	if (due_ms > now_ms)
		retry_ms = due_ms;
	for (int i = 0; i < CLASS_COUNT; i++) {
		due_ms = usage_average_below_ms(
			&admission->by_class[i],
			guaranteed_milli((enum work_class)i, limits), now_ms);
		if (due_ms > now_ms && due_ms < retry_ms)
			retry_ms = due_ms;
	}
	return retry_ms;
}
