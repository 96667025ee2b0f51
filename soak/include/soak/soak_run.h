#ifndef SOAK_SOAK_RUN_H
#define SOAK_SOAK_RUN_H

#include <signal.h>
#include <soak/soak_schedule.h>
#include <soak/soak_tally.h>
#include <soak/soak_wrong.h>

/*
 * One run: program is shallotd, directory gets settings, logs and the report.
 * wrong, if any, puts a stand-in node with a deliberate fault beside the real
 * ones.
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
	const struct soak_wrong *wrong;
	/* Set from a signal handler to end the run early; NULL: never. */
	const volatile sig_atomic_t *is_stopped;
};

#define SOAK_NODE_COUNT_MAX 200

/* How a run ended, with the largest use that was seen of any node. */
struct soak_result {
	uint32_t broken_sum;
	uint32_t broken_counts[SOAK_RULE_COUNT];
	uint64_t answered_count;
	uint64_t failed_count;
	uint64_t kind_counts[FLOW_EVENT_KIND_COUNT];
	uint32_t memory_kb;
	uint32_t descriptor_count;
	uint32_t thread_count;
};

bool soak_run(const struct soak_options *options,
	      const struct soak_schedule *schedule, struct soak_result *result,
	      GError **error);

#endif
