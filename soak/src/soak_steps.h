#ifndef SOAK_STEPS_H
#define SOAK_STEPS_H

#include <glib.h>
#include <stdint.h>

/* What is to be done later, in order of time; one thread uses it. */
struct soak_steps;

struct soak_step {
	int64_t due_ms;
	void *context;
	uint32_t subject;
	void (*act)(void *context, uint32_t subject, int64_t now_ms);
};

struct soak_steps *soak_steps_new(void);
void soak_steps_free(struct soak_steps *steps);
void soak_steps_add(struct soak_steps *steps, const struct soak_step *step);
void soak_steps_run(struct soak_steps *steps, int64_t now_ms);

#endif
