#ifndef CHECKER_CONTEXT_H
#define CHECKER_CONTEXT_H

#include "checker_state.h"
#include "stability_tracker.h"

#include <soak/soak_checker.h>

/* Maximum update delay to all nodes, by the capacity target of the fleet. */
#define UPDATE_DELAY_MAX_MS 4000

/*
 * The newest configuration version whose effect was observed in flows through a
 * node's process, and when it was first observed.
 */
struct observed_version {
	uint32_t version;
	int64_t observed_ms;
};

struct soak_checker {
	struct soak_checker_options options;
	struct stability_tracker *stability;
	struct checker_state *state;
	struct soak_tally *tally;
	struct observed_version *observed_versions;
	/* Start of the quiet period, or 0 if it has not started. */
	int64_t quiet_start_ms;
	/* Requests that were started in the quiet period. */
	uint64_t quiet_answered_count;
	uint64_t quiet_failed_count;
};

uint32_t checker_node_index(const struct soak_checker *checker,
			    const struct endpoint *from);
bool checker_must_be_in_force(const struct soak_checker *checker,
			      const struct flow_event *event,
			      int64_t changed_ms);
void checker_report_violation(struct soak_checker *checker, enum soak_rule rule,
			      const struct flow_event *event, const char *what);

#endif
