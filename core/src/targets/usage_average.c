#include <core/usage_average.h>

#include <math.h>

#define MICRO_PER_REQUEST 1000000
#define MICRO_PER_MILLI 1000

/* Initializes an average with no request in flight. */
void usage_average_init(struct usage_average *usage, uint32_t window_ms)
{
	*usage = (struct usage_average){.window_ms = window_ms};
}

static void advance(struct usage_average *usage, int64_t now_ms)
{
	int64_t in_flight_micro = (int64_t)usage->in_flight * MICRO_PER_REQUEST;
	double decay;

	if (now_ms <= usage->updated_ms)
		return;
	decay = exp(-(double)(now_ms - usage->updated_ms) / usage->window_ms);
	usage->average_micro =
		in_flight_micro +
		(int64_t)((double)(usage->average_micro - in_flight_micro) *
			  decay);
	usage->updated_ms = now_ms;
}

/* Adds delta, which may be negative, to the number of requests in flight. */
void usage_average_add(struct usage_average *usage, int32_t delta,
		       int64_t now_ms)
{
	advance(usage, now_ms);
	usage->in_flight = (uint32_t)((int32_t)usage->in_flight + delta);
}

/* Returns the average number of requests in flight, in thousandths. */
uint32_t usage_average_milli(struct usage_average *usage, int64_t now_ms)
{
	advance(usage, now_ms);
	return (uint32_t)(usage->average_micro / MICRO_PER_MILLI);
}

/*
 * Returns when the average will fall below threshold_milli if the number in
 * flight stays the same, or INT64_MAX if it never does.
 */
int64_t usage_average_below_ms(struct usage_average *usage,
			       uint32_t threshold_milli, int64_t now_ms)
{
	uint32_t average_milli = usage_average_milli(usage, now_ms);
	int64_t in_flight_milli = (int64_t)usage->in_flight * MICRO_PER_MILLI;
	double ratio;

	if (average_milli < threshold_milli)
		return now_ms;
	if (in_flight_milli >= threshold_milli)
		return INT64_MAX;
	ratio = (double)(average_milli - in_flight_milli) /
		(double)(threshold_milli - in_flight_milli);
	return now_ms + 1 + (int64_t)ceil(log(ratio) * usage->window_ms);
}
