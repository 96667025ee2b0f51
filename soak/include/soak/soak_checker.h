#ifndef SOAK_SOAK_CHECKER_H
#define SOAK_SOAK_CHECKER_H

#include <soak/soak_fleet_event.h>
#include <soak/soak_tally.h>

/*
 * Checks the rules of a run against the events that callers and hosts observe
 * and the events of the fleet. It has no clock, thread or socket. Events are
 * passed in order of time, but hosts may still observe packets that a node sent
 * before an earlier event.
 */
struct soak_checker;

/* nodes: for each node, the source address of the packets it sends to hosts. */
struct soak_checker_options {
	const struct endpoint *nodes;
	uint32_t node_count;
	int64_t start_ms;
};

struct soak_checker *
soak_checker_new(const struct soak_checker_options *options);
void soak_checker_free(struct soak_checker *checker);
void soak_checker_handle_fleet_event(
	struct soak_checker *checker,
	const struct soak_fleet_event *fleet_event);
void soak_checker_handle_flow_event(struct soak_checker *checker,
				    const struct flow_event *event);
void soak_checker_finish(struct soak_checker *checker, int64_t now_ms);
const struct soak_tally *soak_checker_tally(const struct soak_checker *checker);

#endif
