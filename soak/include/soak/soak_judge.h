#ifndef SOAK_SOAK_JUDGE_H
#define SOAK_SOAK_JUDGE_H

#include <soak/soak_fact.h>
#include <soak/soak_tally.h>

/*
 * Judges a run by what the ends of flows saw and what was done to the fleet.
 * It has no clock, thread or socket; events and facts come in order of time,
 * but for what is on its way.
 */
struct soak_judge;

/* nodes are where the packets come from that hosts get, by index. */
struct soak_judge_options {
	const struct endpoint *nodes;
	uint32_t node_count;
	int64_t start_ms;
};

struct soak_judge *soak_judge_new(const struct soak_judge_options *options);
void soak_judge_free(struct soak_judge *judge);
void soak_judge_fact(struct soak_judge *judge, const struct soak_fact *fact);
void soak_judge_event(struct soak_judge *judge, const struct flow_event *event);
void soak_judge_finish(struct soak_judge *judge, int64_t now_ms);
const struct soak_tally *soak_judge_tally(const struct soak_judge *judge);

#endif
