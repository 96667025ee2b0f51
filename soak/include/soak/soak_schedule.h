#ifndef SOAK_SOAK_SCHEDULE_H
#define SOAK_SOAK_SCHEDULE_H

#include <glib.h>
#include <soak/soak_fault.h>

/*
 * Faults in order of time. The same seed and duration give the same schedule.
 * As text, each fault is a line: time, kind, subject, duration.
 */
struct soak_schedule;

struct soak_schedule *soak_schedule_draw(uint64_t seed, uint32_t duration_ms);
struct soak_schedule *soak_schedule_parse(const char *text, GError **error);
struct soak_schedule *
soak_schedule_without(const struct soak_schedule *original, uint32_t first,
		      uint32_t count);
void soak_schedule_free(struct soak_schedule *schedule);
uint32_t soak_schedule_count(const struct soak_schedule *schedule);
const struct soak_fault *soak_schedule_at(const struct soak_schedule *schedule,
					  uint32_t index);
uint32_t soak_schedule_end_ms(const struct soak_schedule *schedule);
char *soak_schedule_text(const struct soak_schedule *schedule);

#endif
