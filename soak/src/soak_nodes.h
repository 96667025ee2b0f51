#ifndef SOAK_NODES_H
#define SOAK_NODES_H

#include "checker_task.h"
#include "node_process.h"

#include <fakes/fake_caller.h>

/* The nodes of a run: their processes, and a proxy from each to the store. */
struct soak_nodes;

struct soak_nodes_options {
	const char *program;
	const char *directory;
	uint32_t node_count;
	struct checker_task *checker;
};

/* Faults of a node's link to the store; several may be active at once. */
enum soak_link_fault {
	SOAK_LINK_FAULT_DELAY,
	SOAK_LINK_FAULT_RESET,
	SOAK_LINK_FAULT_CUT_TO_STORE,
	SOAK_LINK_FAULT_CUT_FROM_STORE,
	SOAK_LINK_FAULT_COUNT,
};

struct soak_nodes *soak_nodes_new(const struct soak_nodes_options *options,
				  GError **error);
void soak_nodes_free(struct soak_nodes *nodes);
bool soak_nodes_wait_ready(const struct soak_nodes *nodes, GError **error);
void soak_nodes_reap(struct soak_nodes *nodes, int64_t now_ms);
void soak_nodes_sample(struct soak_nodes *nodes, int64_t now_ms);
void soak_nodes_kill(struct soak_nodes *nodes, uint32_t node, int64_t now_ms);
void soak_nodes_terminate(struct soak_nodes *nodes, uint32_t node,
			  int64_t now_ms);
void soak_nodes_allow_start(struct soak_nodes *nodes, uint32_t node);
void soak_nodes_pause(struct soak_nodes *nodes, uint32_t node, bool is_paused,
		      int64_t now_ms);
void soak_nodes_reload(struct soak_nodes *nodes, uint32_t node);
void soak_nodes_set_link_fault(struct soak_nodes *nodes, uint32_t node,
			       enum soak_link_fault fault, bool is_begin,
			       int64_t now_ms);
void soak_nodes_stop(struct soak_nodes *nodes);
struct process_usage soak_nodes_peak(const struct soak_nodes *nodes);

#endif
