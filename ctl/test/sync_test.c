/* Sync sessions with a fake store, and the watch of the rules file. */
#include "file_watch.h"
#include "sync_session.h"

#include <core/config_report.h>
#include <ctl/command.h>
#include <fakes/fake_kv.h>
#include <fakes/test_main.h>
#include <glib/gstdio.h>
#include <platform/kv_client.h>
#include <string.h>
#include <wire/config_report_codec.h>

#define TIMEOUT_MS 2000
#define SAVE_COUNT_MAX 3
#define SAVE_INTERVAL_US 20000
#define STATUS_KEY "/shallotstream/status/north/north-a"
#define LINE(service, host, comment)                                           \
	service " address=10.0.0." host ":80 pool=10.1.0.1:8080 # " comment "\n"

struct fixture {
	char *directory;
	char *path;
	char *state_path;
	struct fake_kv *kv;
};

/*
 * An injected fault of the store, the successive contents of the file, each
 * synced by a separate run, the exit code of the last run, and the number of
 * writes to the store.
 */
static const struct {
	const char *name;
	struct fake_kv_fault fault;
	const char *saves[SAVE_COUNT_MAX];
	int exit_code;
	bool has_node;
	uint64_t write_count;
} rows[] = {
	{"accepted-and-in-force",
	 {.delay_ms = 0},
	 {LINE("desk", "1", "Lin")},
	 EXIT_CODE_DONE,
	 true,
	 1},
	{"accepted-without-a-node",
	 {.delay_ms = 0},
	 {LINE("desk", "1", "Lin")},
	 EXIT_CODE_FAILED,
	 false,
	 1},
	{"bad-line-beside-a-good-one",
	 {.delay_ms = 0},
	 {LINE("desk", "1", "Lin") "shop address=x # Lin\n"},
	 EXIT_CODE_BAD_DATA,
	 true,
	 1},
	{"unreachable-store",
	 {.is_down = true},
	 {LINE("desk", "1", "Lin")},
	 EXIT_CODE_UNAVAILABLE,
	 false,
	 0},
	{"answer-lost-after-the-write",
	 {.lost_response_count = 1},
	 {LINE("desk", "1", "Lin")},
	 EXIT_CODE_DONE,
	 true,
	 1},
	{"emptied-file-is-held",
	 {.delay_ms = 0},
	 {LINE("desk", "1", "Lin"), "\n"},
	 EXIT_CODE_BAD_DATA,
	 true,
	 1},
	{"stale-copy-saved-over",
	 {.delay_ms = 0},
	 {LINE("desk", "1", "Lin"), LINE("desk", "1", "Wu"),
	  LINE("desk", "1", "Lin")},
	 EXIT_CODE_BAD_DATA,
	 true,
	 2},
	{"saved-again-unchanged",
	 {.delay_ms = 0},
	 {LINE("desk", "1", "Lin"), LINE("desk", "1", "Lin")},
	 EXIT_CODE_DONE,
	 true,
	 1},
};

static void setup(struct fixture *fixture)
{
	struct fake_kv_options options = {.token = NULL};

	endpoint_parse(&options.listen, "127.0.0.1:1");
	options.listen.port = 0;
	fixture->kv = fake_kv_new(&options, NULL);
	fixture->directory = g_dir_make_tmp("sync_test_XXXXXX", NULL);
	fixture->path = g_build_filename(fixture->directory, "rules", NULL);
	fixture->state_path =
		g_build_filename(fixture->directory, "state", NULL);
}

static void teardown(struct fixture *fixture)
{
	fake_kv_free(fixture->kv);
	g_unlink(fixture->path);
	g_unlink(fixture->state_path);
	g_rmdir(fixture->directory);
	g_free(fixture->directory);
	g_free(fixture->path);
	g_free(fixture->state_path);
}

static void on_put(void *context, enum kv_outcome outcome,
		   const struct kv_reply *reply, const GError *error)
{
	ck_assert_int_eq(outcome, KV_DONE);
	event_base_loopbreak(context);
}

/* Writes the report of a node that has applied every revision. */
static void report_node(const struct fixture *fixture)
{
	struct event_base *base = event_base_new();
	struct kv_client_options options = {
		.base = base,
		.server = fake_kv_endpoint(fixture->kv),
		.timeout_ms = TIMEOUT_MS};
	struct kv_client *client = kv_client_new(&options, NULL);
	struct kv_callback callback = {base, on_put};
	struct config_report report = {.node_id = 1, .revision = INT64_MAX};
	GArray *reports = g_array_new(FALSE, FALSE, sizeof(report));
	char *text;

	g_array_append_val(reports, report);
	text = config_report_encode(reports);
	kv_client_put_if(client, STATUS_KEY, 0, text, (uint32_t)strlen(text), 0,
			 &callback);
	event_base_dispatch(base);
	kv_client_free(client);
	event_base_free(base);
	g_array_free(reports, TRUE);
	g_free(text);
}

static int sync_once(const struct fixture *fixture, const char *file)
{
	struct sync_session_options options = {
		.store = {.server = fake_kv_endpoint(fixture->kv),
			  .key_prefix = "/shallotstream",
			  .timeout_ms = TIMEOUT_MS},
		.path = fixture->path,
		.state_path = fixture->state_path,
		.is_once = true,
		.wait_s = 2,
	};
	struct sync_session *session;
	int code;

	ck_assert(g_file_set_contents(fixture->path, file, -1, NULL));
	session = sync_session_new(&options, NULL);
	ck_assert_ptr_nonnull(session);
	code = sync_session_run(session);
	sync_session_free(session);
	return code;
}

START_TEST(test_sync)
{
	struct fixture fixture;
	uint64_t write_count;
	int code = EXIT_CODE_DONE;

	test_row("sync", rows[_i].name);
	setup(&fixture);
	if (rows[_i].has_node)
		report_node(&fixture);
	write_count = fake_kv_write_count(fixture.kv);
	fake_kv_set_fault(fixture.kv, &rows[_i].fault);
	for (int i = 0; i < SAVE_COUNT_MAX && rows[_i].saves[i]; i++)
		code = sync_once(&fixture, rows[_i].saves[i]);
	ck_assert_int_eq(code, rows[_i].exit_code);
	ck_assert_uint_eq(fake_kv_write_count(fixture.kv) - write_count,
			  rows[_i].write_count);
	teardown(&fixture);
}
END_TEST

static void on_saved(void *context)
{
	event_base_loopbreak(context);
}

static void save_in_place(const char *path)
{
	FILE *file = fopen(path, "w");

	fputs("new\n", file);
	fclose(file);
}

static void save_by_rename(const char *path)
{
	char *other = g_strdup_printf("%s~", path);

	save_in_place(other);
	g_rename(other, path);
	g_free(other);
}

static void save_after_delete(const char *path)
{
	g_unlink(path);
	save_in_place(path);
}

/* Ways in which editors save a file. */
static const struct {
	const char *name;
	void (*save)(const char *path);
} save_rows[] = {
	{"editor-writes-in-place", save_in_place},
	{"editor-renames", save_by_rename},
	{"editor-deletes-first", save_after_delete},
};

START_TEST(test_save)
{
	struct fixture fixture;
	struct event_base *base = event_base_new();
	struct file_watch_options options = {
		.base = base, .context = base, .on_saved = on_saved};
	struct file_watch *watch;

	test_row("sync", save_rows[_i].name);
	setup(&fixture);
	save_in_place(fixture.path);
	options.path = fixture.path;
	watch = file_watch_new(&options, NULL);
	ck_assert_ptr_nonnull(watch);
	save_rows[_i].save(fixture.path);
	ck_assert_int_eq(event_base_dispatch(base), 0);
	file_watch_free(watch);
	event_base_free(base);
	teardown(&fixture);
}
END_TEST

static void on_save_due(evutil_socket_t fd, short what, void *context)
{
	save_in_place(context);
}

/* Saving every SAVE_INTERVAL_US must not delay the call of on_saved forever. */
START_TEST(test_busy_save)
{
	struct fixture fixture;
	struct timeval interval = {.tv_usec = SAVE_INTERVAL_US};
	struct event_base *base = event_base_new();
	struct file_watch_options options = {
		.base = base, .context = base, .on_saved = on_saved};
	struct file_watch *watch;
	struct event *saver;

	test_row("sync", "saves-without-a-pause");
	setup(&fixture);
	options.path = fixture.path;
	watch = file_watch_new(&options, NULL);
	saver = event_new(base, -1, EV_PERSIST, on_save_due, fixture.path);
	event_add(saver, &interval);
	ck_assert_int_eq(event_base_dispatch(base), 0);
	event_free(saver);
	file_watch_free(watch);
	event_base_free(base);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sync");
	TCase *tcase = tcase_create("sync");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_sync, 0, G_N_ELEMENTS(rows));
	tcase_add_loop_test(tcase, test_save, 0, G_N_ELEMENTS(save_rows));
	tcase_add_test(tcase, test_busy_save);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
