#include "node_process.h"

#include "node_settings.h"

#include <fcntl.h>
#include <signal.h>
#include <soak/soak_error.h>
#include <spawn.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* SIGTERM to exit: the drain, and 3 s to close sockets on a loaded machine. */
#define EXIT_TIMEOUT_MS (NODE_DRAIN_TIMEOUT_MS + 3000)
/* The exit code of a node that still received packets when its drain ended. */
#define EXIT_CODE_NOT_DRAINED 1
#define PATH_BYTES 64
#define LINE_BYTES 128
#define LOG_MODE 0644

struct node_process {
	char *program;
	char *settings;
	char *log_path;
	pid_t pid;
	uint32_t pause_depth;
	bool is_killed;
	bool is_term_sent;
	/* Paused at some time since SIGTERM; the exit may then be late. */
	bool was_paused;
	int64_t term_sent_ms;
};

/* Creates a process without starting it; free it with node_process_free. */
struct node_process *node_process_new(const char *program, const char *settings,
				      const char *log_path)
{
	struct node_process *process = g_new0(struct node_process, 1);

	process->program = g_strdup(program);
	process->settings = g_strdup(settings);
	process->log_path = g_strdup(log_path);
	return process;
}

/* Kills the process if it is running, and frees it; NULL is allowed. */
void node_process_free(struct node_process *process)
{
	if (!process)
		return;
	if (process->pid > 0) {
		kill(process->pid, SIGKILL);
		waitpid(process->pid, NULL, 0);
	}
	g_free(process->program);
	g_free(process->settings);
	g_free(process->log_path);
	g_free(process);
}

static int spawn(struct node_process *process)
{
	char *arguments[] = {process->program, "--settings", process->settings,
			     NULL};
	posix_spawn_file_actions_t actions;
	int result;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
		&actions, STDOUT_FILENO, process->log_path,
		O_WRONLY | O_CREAT | O_APPEND, LOG_MODE);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO,
					 STDERR_FILENO);
	result = posix_spawn(&process->pid, process->program, &actions, NULL,
			     arguments, environ);
	posix_spawn_file_actions_destroy(&actions);
	return result;
}

/* Starts the program. Fails with SOAK_ERROR_START. */
bool node_process_start(struct node_process *process, GError **error)
{
	int result = spawn(process);

	process->pause_depth = 0;
	process->is_killed = false;
	process->is_term_sent = false;
	process->was_paused = false;
	if (result == 0)
		return true;
	process->pid = 0;
	g_set_error(error, SOAK_ERROR, SOAK_ERROR_START, "cannot start %s: %s",
		    process->program, g_strerror(result));
	return false;
}

static void send_signal(struct node_process *process, int signal_number)
{
	if (process->pid > 0)
		kill(process->pid, signal_number);
}

/* Sends SIGKILL. */
void node_process_kill(struct node_process *process)
{
	process->is_killed = true;
	send_signal(process, SIGKILL);
}

/* Sends SIGTERM, unless it was sent since the last start. */
void node_process_terminate(struct node_process *process, int64_t now_ms)
{
	if (process->is_term_sent)
		return;
	process->is_term_sent = true;
	process->was_paused = process->pause_depth > 0;
	process->term_sent_ms = now_ms;
	send_signal(process, SIGTERM);
}

/* Pauses or resumes the process. Pauses nest; the last resume continues it. */
void node_process_pause(struct node_process *process, bool is_paused)
{
	if (is_paused) {
		process->was_paused = true;
		if (process->pause_depth++ == 0)
			send_signal(process, SIGSTOP);
		return;
	}
	if (process->pause_depth > 0 && --process->pause_depth == 0)
		send_signal(process, SIGCONT);
}

/* Makes the process reload its settings. */
void node_process_reload(struct node_process *process)
{
	send_signal(process, SIGHUP);
}

/*
 * A drain that times out is a clean exit: a router sends packets to every node
 * of a zone when fewer than half of them are in rotation.
 */
static bool is_clean_exit(const struct node_process *process, int wait_status,
			  int64_t now_ms)
{
	int64_t age_ms = now_ms - process->term_sent_ms;

	if (!WIFEXITED(wait_status) ||
	    (!process->was_paused && age_ms > EXIT_TIMEOUT_MS))
		return false;
	return WEXITSTATUS(wait_status) == 0 ||
	       (WEXITSTATUS(wait_status) == EXIT_CODE_NOT_DRAINED &&
		age_ms >= NODE_DRAIN_TIMEOUT_MS);
}

static enum process_status classify_exit(const struct node_process *process,
					 int wait_status, int64_t now_ms,
					 char *text, size_t text_bytes)
{
	if (process->is_killed)
		return PROCESS_EXITED;
	if (!process->is_term_sent) {
		g_snprintf(text, text_bytes,
			   "process %d exited unexpectedly, wait status 0x%x",
			   (int)process->pid, (unsigned int)wait_status);
		return PROCESS_DIED;
	}
	if (is_clean_exit(process, wait_status, now_ms))
		return PROCESS_EXITED;
	g_snprintf(text, text_bytes,
		   "process %d exited %d ms after SIGTERM, wait status 0x%x",
		   (int)process->pid, (int)(now_ms - process->term_sent_ms),
		   (unsigned int)wait_status);
	return PROCESS_EXITED_UNCLEANLY;
}

static enum process_status check_exit_deadline(struct node_process *process,
					       int64_t now_ms, char *text,
					       size_t text_bytes)
{
	if (!process->is_term_sent || process->is_killed ||
	    process->was_paused ||
	    now_ms - process->term_sent_ms <= EXIT_TIMEOUT_MS)
		return PROCESS_RUNNING;
	g_snprintf(text, text_bytes,
		   "process %d was still running %d ms after SIGTERM",
		   (int)process->pid, (int)(now_ms - process->term_sent_ms));
	node_process_kill(process);
	return PROCESS_EXITED_UNCLEANLY;
}

/*
 * Checks without blocking whether the process has exited. For an unclean or
 * unexpected exit, writes a description to text. Kills a process that has not
 * exited in time after SIGTERM.
 */
enum process_status node_process_reap(struct node_process *process,
				      int64_t now_ms, char *text,
				      size_t text_bytes)
{
	enum process_status status;
	int wait_status = 0;

	if (process->pid <= 0)
		return PROCESS_EXITED;
	if (waitpid(process->pid, &wait_status, WNOHANG) != process->pid)
		return check_exit_deadline(process, now_ms, text, text_bytes);
	status = classify_exit(process, wait_status, now_ms, text, text_bytes);
	process->pid = 0;
	return status;
}

/* Returns whether the process exists, paused or not. */
bool node_process_is_running(const struct node_process *process)
{
	return process->pid > 0;
}

static uint32_t count_descriptors(const struct node_process *process)
{
	char path[PATH_BYTES];
	uint32_t count = 0;
	GDir *dir;

	g_snprintf(path, sizeof(path), "/proc/%d/fd", (int)process->pid);
	dir = g_dir_open(path, 0, NULL);
	while (dir && g_dir_read_name(dir))
		count++;
	if (dir)
		g_dir_close(dir);
	return count;
}

/* Reads the resource usage. Returns false if the process has exited. */
bool node_process_usage(const struct node_process *process,
			struct process_usage *usage)
{
	char path[PATH_BYTES];
	char line[LINE_BYTES];
	FILE *file;

	*usage = (struct process_usage){0};
	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)process->pid);
	file = process->pid > 0 ? fopen(path, "re") : NULL;
	if (!file)
		return false;
	while (fgets(line, sizeof(line), file)) {
		if (g_str_has_prefix(line, "VmRSS:"))
			usage->memory_kb = (uint32_t)g_ascii_strtoull(
				line + strlen("VmRSS:"), NULL, 10);
		if (g_str_has_prefix(line, "Threads:"))
			usage->thread_count = (uint32_t)g_ascii_strtoull(
				line + strlen("Threads:"), NULL, 10);
	}
	fclose(file);
	usage->descriptor_count = count_descriptors(process);
	return usage->memory_kb > 0;
}
