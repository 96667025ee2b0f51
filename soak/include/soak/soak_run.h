#ifndef SOAK_SOAK_RUN_H
#define SOAK_SOAK_RUN_H

#include <signal.h>
#include <soak/soak_deliberate_fault.h>
#include <soak/soak_schedule.h>
#include <soak/soak_tally.h>

/*
 * The options of a run: program is the path of shallotd, directory is where
 * settings, logs and the report are written. deliberate_fault, if not NULL,
 * tests that the checker detects violations: it adds a faulty node, and the
 * hosts execute duplicate requests if its are_hosts_executing_duplicates is
 * set.
 */
struct soak_options {
	const char *program;
	const char *directory;
	uint64_t seed;
	uint32_t node_count;
	uint32_t service_count;
	uint32_t hosts_per_service;
	uint32_t flows_per_s;
	bool is_consistent_hash;
	const struct soak_deliberate_fault *deliberate_fault;
	/* Set to 1 by a signal handler to end the run early; may be NULL. */
	const volatile sig_atomic_t *is_stop_requested;
};

#define SOAK_NODE_COUNT_MAX 200

/* The result of a run, with the peak of each resource over all nodes. */
struct soak_result {
	uint32_t violation_count;
	uint32_t violation_counts[SOAK_RULE_COUNT];
	uint64_t answered_count;
	uint64_t failed_count;
	uint64_t flow_event_counts[FLOW_EVENT_KIND_COUNT];
	uint32_t memory_kb;
	uint32_t descriptor_count;
	uint32_t thread_count;
};

bool soak_run(const struct soak_options *options,
	      const struct soak_schedule *schedule, struct soak_result *result,
	      GError **error);

#endif
