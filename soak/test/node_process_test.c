/* Classification of exits and resource usage; the processes are scripts. */
#include "node_process.h"

#include "node_settings.h"

#include <fakes/test_main.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <task/task.h>

#define TEXT_BYTES 120
#define WAIT_TIMEOUT_MS 10000
#define POLL_US 10000
#define STARTUP_MS 200
#define PROGRAM_MODE 0755

#define WITH_LOOP(command) command "; while :; do sleep 0.05; done"

/* clock_offset_ms is added to the time that is passed to node_process_reap. */
static const struct {
	const char *name;
	const char *script;
	int64_t clock_offset_ms;
	enum process_status status;
	bool is_term_sent;
	bool is_killed;
} cases[] = {
	{"ends-well", WITH_LOOP("trap 'exit 0' TERM"), 0, PROCESS_EXITED, true,
	 false},
	{"ends-with-a-fault", WITH_LOOP("trap 'exit 3' TERM"), 0,
	 PROCESS_EXITED_UNCLEANLY, true, false},
	{"not-drained-though-there-was-time", WITH_LOOP("trap 'exit 1' TERM"),
	 0, PROCESS_EXITED_UNCLEANLY, true, false},
	{"not-drained-in-the-time-it-had", WITH_LOOP("trap 'exit 1' TERM"),
	 NODE_DRAIN_TIMEOUT_MS, PROCESS_EXITED, true, false},
	{"ignores-the-signal", WITH_LOOP("trap '' TERM"),
	 NODE_DRAIN_TIMEOUT_MS * 2, PROCESS_EXITED_UNCLEANLY, true, false},
	{"dies-by-itself", "exit 0", 0, PROCESS_DIED, false, false},
	{"is-killed", WITH_LOOP(":"), 0, PROCESS_EXITED, false, true},
};

static char *write_program(const char *directory, const char *script)
{
	char *path = g_build_filename(directory, "program", NULL);
	char *text = g_strdup_printf("#!/bin/sh\n%s\n", script);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	ck_assert_int_eq(g_chmod(path, PROGRAM_MODE), 0);
	g_free(text);
	return path;
}

static enum process_status wait_for_exit(struct node_process *process,
					 int64_t clock_offset_ms)
{
	int64_t deadline_ms = task_now_ms() + WAIT_TIMEOUT_MS;
	enum process_status status = PROCESS_RUNNING;
	char text[TEXT_BYTES];

	while (status == PROCESS_RUNNING && task_now_ms() < deadline_ms) {
		g_usleep(POLL_US);
		status = node_process_reap(process,
					   task_now_ms() + clock_offset_ms,
					   text, sizeof(text));
	}
	return status;
}

START_TEST(test_exit)
{
	char *directory = g_dir_make_tmp("node-process-XXXXXX", NULL);
	char *program = write_program(directory, cases[_i].script);
	char *log_path = g_build_filename(directory, "log", NULL);
	struct node_process *process =
		node_process_new(program, "settings", log_path);

	test_row("node_process", cases[_i].name);
	ck_assert(node_process_start(process, NULL));
	g_usleep(STARTUP_MS * 1000);
	if (cases[_i].is_term_sent)
		node_process_terminate(process, task_now_ms());
	if (cases[_i].is_killed)
		node_process_kill(process);
	ck_assert_int_eq(wait_for_exit(process, cases[_i].clock_offset_ms),
			 cases[_i].status);
	node_process_free(process);
	g_unlink(program);
	g_unlink(log_path);
	g_rmdir(directory);
	g_free(program);
	g_free(log_path);
	g_free(directory);
}
END_TEST

START_TEST(test_usage)
{
	char *directory = g_dir_make_tmp("node-process-XXXXXX", NULL);
	char *program = write_program(directory, "sleep 5");
	struct node_process *process =
		node_process_new(program, "settings", "/dev/null");
	struct process_usage usage;

	test_row("node_process", "usage-of-a-process");
	ck_assert(!node_process_usage(process, &usage));
	ck_assert(node_process_start(process, NULL));
	g_usleep(STARTUP_MS * 1000);
	ck_assert(node_process_usage(process, &usage));
	ck_assert_uint_gt(usage.memory_kb, 0);
	ck_assert_uint_gt(usage.descriptor_count, 0);
	ck_assert_uint_eq(usage.thread_count, 1);
	node_process_free(process);
	g_unlink(program);
	g_rmdir(directory);
	g_free(program);
	g_free(directory);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("node_process");
	TCase *tcase = tcase_create("node_process");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_exit, 0, G_N_ELEMENTS(cases));
	tcase_add_test(tcase, test_usage);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
