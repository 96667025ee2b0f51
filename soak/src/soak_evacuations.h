#ifndef SOAK_EVACUATIONS_H
#define SOAK_EVACUATIONS_H

#include "soak_hosts.h"

/* The evacuations of zones that the operator writes to the store. */
struct soak_evacuations;

/* faulty_node, if not NULL, is a fake node that is told of each evacuation. */
struct soak_evacuations_options {
	struct fake_kv *kv;
	struct soak_hosts *hosts;
	struct checker_task *checker;
	struct soak_timers *timers;
	struct faulty_node *faulty_node;
};

struct soak_evacuations *
soak_evacuations_new(const struct soak_evacuations_options *options);
void soak_evacuations_free(struct soak_evacuations *evacuations);
void soak_evacuations_begin(struct soak_evacuations *evacuations,
			    uint32_t subject, uint32_t duration_ms,
			    int64_t now_ms);

#endif
