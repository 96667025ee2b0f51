#ifndef NODE_PROCESS_H
#define NODE_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * A shallotd process started by the run, which may be started again after its
 * exit. Signals go to the ids of such processes only.
 */
struct node_process;

/* Resource usage as reported in /proc. */
struct process_usage {
	uint32_t memory_kb;
	uint32_t descriptor_count;
	uint32_t thread_count;
};

/* Whether a process is running, or how it exited. */
enum process_status {
	PROCESS_RUNNING,
	/* After SIGTERM or SIGKILL from the run, or never started. */
	PROCESS_EXITED,
	/* After SIGTERM, but late or with an unexpected wait status. */
	PROCESS_EXITED_UNCLEANLY,
	/* Without a signal from the run. */
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
enum process_status node_process_reap(struct node_process *process,
				      int64_t now_ms, char *text,
				      size_t text_bytes);
bool node_process_is_running(const struct node_process *process);
bool node_process_usage(const struct node_process *process,
			struct process_usage *usage);

#endif
