/* How processes end, and what is made of it; programs are short scripts. */
#include "node_process.h"

#include "node_settings.h"

#include <fakes/test_main.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <task/task.h>

#define TEXT_BYTES 120
#define PATIENCE_MS 10000
#define STEP_US 10000
#define START_MS 200
#define PROGRAM_MODE 0755

#define LOOP_AFTER(command) command "; while :; do sleep 0.05; done"

/* late_ms is added to the clock after SIGTERM. */
static const struct {
	const char *name;
	const char *script;
	int64_t late_ms;
	enum process_end end;
	bool is_terminated;
	bool is_killed;
} rows[] = {
	{"ends-well", LOOP_AFTER("trap 'exit 0' TERM"), 0, PROCESS_ENDED, true,
	 false},
	{"ends-with-a-fault", LOOP_AFTER("trap 'exit 3' TERM"), 0,
	 PROCESS_ENDED_BADLY, true, false},
	{"not-drained-though-there-was-time", LOOP_AFTER("trap 'exit 1' TERM"),
	 0, PROCESS_ENDED_BADLY, true, false},
	{"not-drained-in-the-time-it-had", LOOP_AFTER("trap 'exit 1' TERM"),
	 NODE_DRAIN_TIMEOUT_MS, PROCESS_ENDED, true, false},
	{"ignores-the-signal", LOOP_AFTER("trap '' TERM"),
	 NODE_DRAIN_TIMEOUT_MS * 2, PROCESS_ENDED_BADLY, true, false},
	{"dies-by-itself", "exit 0", 0, PROCESS_DIED, false, false},
	{"is-killed", LOOP_AFTER(":"), 0, PROCESS_ENDED, false, true},
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

static enum process_end wait_for_end(struct node_process *process,
				     int64_t late_ms)
{
	int64_t end_ms = task_now_ms() + PATIENCE_MS;
	enum process_end end = PROCESS_RUNS;
	char text[TEXT_BYTES];

	while (end == PROCESS_RUNS && task_now_ms() < end_ms) {
		g_usleep(STEP_US);
		end = node_process_reap(process, task_now_ms() + late_ms, text,
					sizeof(text));
	}
	return end;
}

START_TEST(test_end)
{
	char *directory = g_dir_make_tmp("node-process-XXXXXX", NULL);
	char *program = write_program(directory, rows[_i].script);
	char *log_path = g_build_filename(directory, "log", NULL);
	struct node_process *process =
		node_process_new(program, "settings", log_path);

	test_row("node_process", rows[_i].name);
	ck_assert(node_process_start(process, NULL));
	g_usleep(START_MS * 1000);
	if (rows[_i].is_terminated)
		node_process_terminate(process, task_now_ms());
	if (rows[_i].is_killed)
		node_process_kill(process);
	ck_assert_int_eq(wait_for_end(process, rows[_i].late_ms), rows[_i].end);
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
	g_usleep(START_MS * 1000);
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
	tcase_add_loop_test(tcase, test_end, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_usage);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
