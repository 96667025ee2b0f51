#include "relay_class_demand.h"

#include <glib.h>

#define WINDOW_MS 500
#define MILLI_PER_UNIT 1000
#define MS_PER_S 1000
#define US_PER_MS 1000

/* A window's rate counts as much as all earlier ones together. */
#define RATE_SMOOTHING_DIVISOR 2

/* With fewer windows in between, the rate is smoothed to zero step by step. */
#define EMPTY_WINDOW_COUNT_MAX 8

/* How much of work_us is added in each window, 1% a second. */
#define WORK_RISE_DIVISOR 200

/* A mean of fewer durations may be that of a few short requests. */
#define DURATION_COUNT_MIN 8

static void close_durations(struct relay_class_demand *demand)
{
	uint32_t mean_us;

	demand->work_us += demand->work_us / WORK_RISE_DIVISOR;
	if (demand->duration_count < DURATION_COUNT_MIN)
		return;
	mean_us = (uint32_t)MIN(demand->duration_sum_ms * US_PER_MS /
					demand->duration_count,
				UINT32_MAX);
	demand->work_us = demand->work_us == 0 ? MAX(mean_us, 1)
					       : MIN(demand->work_us, mean_us);
	demand->duration_sum_ms = 0;
	demand->duration_count = 0;
}

static void close_window(struct relay_class_demand *demand)
{
	int64_t rate_milli = (int64_t)demand->window_count * MS_PER_S *
			     MILLI_PER_UNIT / WINDOW_MS;

	rate_milli = MIN(rate_milli, INT32_MAX);
	demand->rate_milli =
		(uint32_t)((int64_t)demand->rate_milli +
			   (rate_milli - (int64_t)demand->rate_milli) /
				   RATE_SMOOTHING_DIVISOR);
	demand->window_count = 0;
	demand->window_start_ms += WINDOW_MS;
	close_durations(demand);
}

/* Closes the windows that have ended by now_ms. */
static void advance(struct relay_class_demand *demand, int64_t now_ms)
{
	if (now_ms - demand->window_start_ms >=
	    (int64_t)EMPTY_WINDOW_COUNT_MAX * WINDOW_MS) {
		demand->window_start_ms = now_ms;
		demand->window_count = 0;
		demand->rate_milli = 0;
	}
	while (now_ms - demand->window_start_ms >= WINDOW_MS)
		close_window(demand);
}

/* Records a request, or an attempt at one that was refused. */
void relay_class_demand_add_request(struct relay_class_demand *demand,
				    int64_t now_ms)
{
	advance(demand, now_ms);
	demand->window_count++;
}

/* Records how long a target took for a request. */
void relay_class_demand_add_duration(struct relay_class_demand *demand,
				     uint32_t duration_ms, int64_t now_ms)
{
	advance(demand, now_ms);
	demand->duration_sum_ms += duration_ms;
	demand->duration_count++;
}

/* Returns how many slots the requests keep in use, in thousandths. */
uint64_t relay_class_demand_slots_milli(struct relay_class_demand *demand,
					int64_t now_ms)
{
	advance(demand, now_ms);
	return (uint64_t)demand->rate_milli * demand->work_us /
	       ((uint64_t)MS_PER_S * US_PER_MS);
}
