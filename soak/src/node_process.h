#ifndef NODE_PROCESS_H
#define NODE_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One process of shallotd that the run started; only such processes are
 * signalled, by their ids. It is made anew when it ends and is still wanted.
 */
struct node_process;

/* What it uses, as the system counts it. */
struct process_usage {
	uint32_t memory_kb;
	uint32_t descriptor_count;
	uint32_t thread_count;
};

/* How a process ended. */
enum process_end {
	PROCESS_RUNS,
	/* After a signal of the run that ends it. */
	PROCESS_ENDED,
	/* After SIGTERM, late or with a code that tells of a fault. */
	PROCESS_ENDED_BADLY,
	/* Without being told to. */
	PROCESS_DIED,
};

struct node_process *node_process_new(const char *program, const char *settings,
				      const char *log_path);
void node_process_free(struct node_process *process);
bool node_process_start(struct node_process *process, GError **error);
void node_process_kill(struct node_process *process);
void node_process_terminate(struct node_process *process, int64_t now_ms);
void node_process_pause(struct node_process *process, bool is_paused);
void node_process_reload(struct node_process *process);
enum process_end node_process_reap(struct node_process *process, int64_t now_ms,
				   char *text, size_t text_bytes);
bool node_process_is_running(const struct node_process *process);
bool node_process_usage(const struct node_process *process,
			struct process_usage *usage);

#endif
