#ifndef SOAK_SOAK_SHRINK_H
#define SOAK_SOAK_SHRINK_H

#include <soak/soak_schedule.h>
#include <stdbool.h>

/*
 * fails returns whether a run of the schedule fails; its first argument is
 * context. It is called at most try_count_max times.
 */
struct soak_shrink_options {
	uint32_t try_count_max;
	void *context;
	bool (*fails)(void *context, const struct soak_schedule *schedule);
};

struct soak_schedule *soak_shrink(const struct soak_schedule *schedule,
				  const struct soak_shrink_options *options);

#endif
