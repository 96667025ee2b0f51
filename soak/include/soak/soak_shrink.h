#ifndef SOAK_SOAK_SHRINK_H
#define SOAK_SOAK_SHRINK_H

#include <soak/soak_schedule.h>
#include <stdbool.h>

/* fails returns whether a run of the schedule fails; it is passed context. */
struct soak_shrink_options {
	uint32_t try_count_max;
	void *context;
	bool (*fails)(void *context, const struct soak_schedule *schedule);
};

struct soak_schedule *soak_shrink(const struct soak_schedule *schedule,
				  const struct soak_shrink_options *options);

#endif
