#ifndef SOAK_TIMERS_H
#define SOAK_TIMERS_H

#include <glib.h>
#include <stdint.h>

/* Pending timers in order of due time; not thread-safe. */
struct soak_timers;

struct soak_timer {
	int64_t due_ms;
	void *context;
	uint32_t subject;
	void (*callback)(void *context, uint32_t subject, int64_t now_ms);
};

struct soak_timers *soak_timers_new(void);
void soak_timers_free(struct soak_timers *timers);
void soak_timers_add(struct soak_timers *timers,
		     const struct soak_timer *timer);
void soak_timers_run(struct soak_timers *timers, int64_t now_ms);

#endif
