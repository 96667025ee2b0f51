#include <core/relay_work_time.h>

#include <glib.h>

#define MILLI_PER_UNIT 1000
#define US_PER_MS 1000

/* The time in which what was seen falls to 1/e. */
#define KEPT_MS 40000

/*
 * A target counts as if so many more requests at it had taken the mean of its
 * pool, so that a few long or short ones change little.
 */
#define MEAN_COUNT 4

/*
 * Limits of the pace. A target that refuses everything answers fast; it must
 * not draw many more flows for that.
 */
#define PACE_MIN_MILLI 500
#define PACE_MAX_MILLI 2000

/* Targets that differ less from the mean may differ by chance. */
#define USUAL_DIFFERENCE_MILLI 250

/* More requests in KEPT_MS than this change the mean no further. */
#define COUNT_MAX_MILLI (INT32_MAX - MILLI_PER_UNIT)

/* Records a request; is_first: it is the first one of its flow. */
void relay_work_time_add_request(struct relay_work_time *work, bool is_first)
{
	uint32_t *count_milli =
		is_first ? &work->first_milli : &work->later_milli;

	if (*count_milli < COUNT_MAX_MILLI)
		*count_milli += MILLI_PER_UNIT;
}

/* Records how long a target took for a request. */
void relay_work_time_add_duration(struct relay_work_time *work,
				  uint32_t duration_ms)
{
	if (work->timed_milli >= COUNT_MAX_MILLI)
		return;
	work->timed_milli += MILLI_PER_UNIT;
	work->time_us += (uint64_t)duration_ms * US_PER_MS;
}

/* Lets what was seen fall for the time that has passed. */
void relay_work_time_age(struct relay_work_time *work, int64_t elapsed_ms)
{
	uint64_t left_ms = KEPT_MS - (uint64_t)CLAMP(elapsed_ms, 0, KEPT_MS);

	work->first_milli = (uint32_t)(work->first_milli * left_ms / KEPT_MS);
	work->later_milli = (uint32_t)(work->later_milli * left_ms / KEPT_MS);
	work->timed_milli = (uint32_t)(work->timed_milli * left_ms / KEPT_MS);
	work->time_us = work->time_us * left_ms / KEPT_MS;
}

static uint32_t sum_of(uint32_t a, uint32_t b)
{
	return (uint32_t)MIN((uint64_t)a + b, UINT32_MAX);
}

/* Adds what was seen at a target to a sum. */
void relay_work_time_merge(struct relay_work_time *sum,
			   const struct relay_work_time *work)
{
	sum->first_milli = sum_of(sum->first_milli, work->first_milli);
	sum->later_milli = sum_of(sum->later_milli, work->later_milli);
	sum->timed_milli = sum_of(sum->timed_milli, work->timed_milli);
	sum->time_us += work->time_us;
}

/* Returns the mean time of a request, 0 if less than one was timed. */
uint64_t relay_work_time_mean_us(const struct relay_work_time *work)
{
	if (work->timed_milli < MILLI_PER_UNIT)
		return 0;
	return work->time_us * MILLI_PER_UNIT / work->timed_milli;
}

/*
 * Returns how long a target takes for a request in thousandths of the mean of
 * its pool, as far as that has to be added to its open flows: where each flow
 * has one request, a slow target has more flows open by itself, and the result
 * is 1000.
 */
uint32_t relay_work_time_pace_milli(const struct relay_work_time *work,
				    const struct relay_work_time *pool)
{
	uint64_t mean_us = relay_work_time_mean_us(pool);
	uint64_t usual_us = (work->timed_milli + MEAN_COUNT * MILLI_PER_UNIT) *
			    mean_us / MILLI_PER_UNIT;
	uint64_t request_milli =
		(uint64_t)pool->first_milli + pool->later_milli;
	int64_t pace_milli;

	if (usual_us == 0 || request_milli == 0)
		return MILLI_PER_UNIT;
	pace_milli = (int64_t)((work->time_us + MEAN_COUNT * mean_us) *
			       MILLI_PER_UNIT / usual_us);
	if (ABS(pace_milli - MILLI_PER_UNIT) < USUAL_DIFFERENCE_MILLI)
		return MILLI_PER_UNIT;
	pace_milli = CLAMP(pace_milli, PACE_MIN_MILLI, PACE_MAX_MILLI);
	return (uint32_t)(MILLI_PER_UNIT + (pace_milli - MILLI_PER_UNIT) *
						   (int64_t)pool->later_milli /
						   (int64_t)request_milli);
}
