#include <core/usage_average.h>

#include <math.h>

#define MICRO_PER_UNIT 1000000
#define MICRO_PER_MILLI 1000

/* Starts with nothing in flight; window_ms is the time constant. */
void usage_average_init(struct usage_average *usage, uint32_t window_ms)
{
	*usage = (struct usage_average){.window_ms = window_ms};
}

static void advance(struct usage_average *usage, int64_t now_ms)
{
	int64_t level_micro = (int64_t)usage->in_flight * MICRO_PER_UNIT;
	double kept;

	if (now_ms <= usage->updated_ms)
		return;
	kept = exp(-(double)(now_ms - usage->updated_ms) / usage->window_ms);
	usage->average_micro =
		level_micro +
		(int64_t)((double)(usage->average_micro - level_micro) * kept);
	usage->updated_ms = now_ms;
}

/* Adds to the number in flight, or takes from it when negative. */
void usage_average_change(struct usage_average *usage, int32_t difference,
			  int64_t now_ms)
{
	advance(usage, now_ms);
	usage->in_flight = (uint32_t)((int32_t)usage->in_flight + difference);
}

/* Returns the average now, in thousandths of a request. */
uint32_t usage_average_milli(struct usage_average *usage, int64_t now_ms)
{
	advance(usage, now_ms);
	return (uint32_t)(usage->average_micro / MICRO_PER_MILLI);
}

/*
 * Returns when the average falls below a level if nothing starts or ends, or
 * INT64_MAX when it never does.
 */
int64_t usage_average_below_ms(struct usage_average *usage,
			       uint32_t level_milli, int64_t now_ms)
{
	uint32_t average_milli = usage_average_milli(usage, now_ms);
	int64_t floor_milli = (int64_t)usage->in_flight * MICRO_PER_MILLI;
	double ratio;

	if (average_milli < level_milli)
		return now_ms;
	if (floor_milli >= level_milli)
		return INT64_MAX;
	ratio = (double)(average_milli - floor_milli) /
		(double)(level_milli - floor_milli);
	return now_ms + 1 + (int64_t)ceil(log(ratio) * usage->window_ms);
}
