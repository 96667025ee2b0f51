#include "sync_session.h"

#include "file_watch.h"
#include "fleet_status.h"
#include "sync_printer.h"
#include "sync_state.h"

#include <core/rules_sync.h>
#include <ctl/command.h>
#include <platform/kv_client.h>
#include <stdio.h>
#include <string.h>
#include <wire/rules_document_codec.h>

#define RETRY_DELAY_S 1
#define STATUS_INTERVAL_US 250000
/* How often an idle session reads changes by other operators. */
#define POLL_INTERVAL_S 30
#define US_PER_MS 1000

struct sync_session {
	struct sync_session_options options;
	struct event_base *base;
	struct kv_client *client;
	struct rules_sync *sync;
	struct sync_printer *printer;
	struct file_watch *watch;
	struct event *retry_event;
	struct event *status_event;
	struct event *timeout_event;
	char *rules_key;
	char *status_key;
	uint32_t rejected_count;
	bool is_unavailable_reported;
	bool is_merged;
};

static void start_timer(struct event *event, uint32_t delay_s,
			uint32_t delay_us)
{
	struct timeval delay = {.tv_sec = delay_s, .tv_usec = delay_us};

	event_add(event, &delay);
}

static void print_error(struct sync_session *session, const char *message)
{
	fprintf(stderr, "shallotctl: %s: %s\n", session->options.path, message);
}

/* Reports an outage once, when it starts. */
static void report_unavailable(struct sync_session *session,
			       const GError *error)
{
	if (!session->is_unavailable_reported)
		print_error(session,
			    error ? error->message : "store unavailable");
	session->is_unavailable_reported = true;
}

static void handle_entry(struct sync_session *session,
			 const struct kv_entry *entry)
{
	GError *error = NULL;
	struct rules_document *document =
		rules_document_decode(entry ? entry->value : "",
				      entry ? entry->value_bytes : 0, &error);

	if (!document) {
		report_unavailable(session, error);
		g_error_free(error);
		rules_sync_handle_read_failure(session->sync);
		return;
	}
	session->is_unavailable_reported = false;
	rules_sync_handle_document(session->sync, document,
				   entry ? entry->mod_revision : 0,
				   (uint64_t)(g_get_real_time() / US_PER_MS));
	rules_document_free(document);
}

static void on_read(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct sync_session *session = context;

	if (reply) {
		handle_entry(session, kv_reply_entry(reply, 0));
		return;
	}
	report_unavailable(session, error);
	rules_sync_handle_read_failure(session->sync);
}

static void start_read(void *context)
{
	struct sync_session *session = context;
	struct kv_callback callback = {session, on_read};

	kv_client_range(session->client, session->rules_key, false, &callback);
}

/*
 * Handles a failed write like one whose outcome is unknown: the document is
 * read again, which costs one read.
 */
static void on_written(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct sync_session *session = context;

	if (reply) {
		rules_sync_handle_write_result(session->sync,
					       reply->has_succeeded);
		return;
	}
	report_unavailable(session, error);
	rules_sync_handle_unconfirmed_write(session->sync);
}

static void start_write(void *context, const struct rules_document *document,
			int64_t expected_mod_revision)
{
	struct sync_session *session = context;
	struct kv_callback callback = {session, on_written};
	char *text = rules_document_encode(document);

	kv_client_put_if(session->client, session->rules_key,
			 expected_mod_revision, text, (uint32_t)strlen(text), 0,
			 &callback);
	g_free(text);
}

static void start_retry_timer(void *context)
{
	struct sync_session *session = context;

	start_timer(session->retry_event, RETRY_DELAY_S, 0);
}

static void finish_sync(struct sync_session *session)
{
	if (session->options.is_once)
		event_base_loopbreak(session->base);
	else
		start_timer(session->retry_event, POLL_INTERVAL_S, 0);
}

static void handle_outcome(void *context, const struct rules_merge *merge,
			   const struct rules_base *base)
{
	struct sync_session *session = context;
	GError *error = NULL;

	session->is_merged = true;
	session->rejected_count = rules_merge_rejected_count(merge);
	if (!sync_state_write(session->options.state_path, base, &error)) {
		print_error(session, error->message);
		g_error_free(error);
	}
	sync_printer_print_outcomes(session->printer, merge);
	if (sync_printer_pending_count(session->printer) == 0)
		finish_sync(session);
	else
		start_timer(session->status_event, 0, STATUS_INTERVAL_US);
}

static void on_status(void *context, enum kv_outcome outcome,
		      const struct kv_reply *reply, const GError *error)
{
	struct sync_session *session = context;
	struct fleet_status *status = reply ? fleet_status_new(reply) : NULL;
	bool is_done =
		status && sync_printer_print_status(session->printer, status);

	fleet_status_free(status);
	if (is_done)
		finish_sync(session);
	else
		start_timer(session->status_event, 0, STATUS_INTERVAL_US);
}

static void on_status_due(evutil_socket_t fd, short what, void *context)
{
	struct sync_session *session = context;
	struct kv_callback callback = {session, on_status};

	kv_client_range(session->client, session->status_key, true, &callback);
}

static void on_retry(evutil_socket_t fd, short what, void *context)
{
	struct sync_session *session = context;

	rules_sync_retry(session->sync);
}

static void on_timeout(evutil_socket_t fd, short what, void *context)
{
	struct sync_session *session = context;

	event_base_loopbreak(session->base);
}

/* A missing file does not count as empty: editors may delete it to save it. */
static bool read_file(struct sync_session *session)
{
	GError *error = NULL;
	char *bytes = NULL;
	gsize length_bytes = 0;

	if (!g_file_get_contents(session->options.path, &bytes, &length_bytes,
				 &error)) {
		print_error(session, error->message);
		g_error_free(error);
		return false;
	}
	rules_sync_set_text(session->sync, rules_text_new(bytes, length_bytes));
	g_free(bytes);
	return true;
}

static void on_saved(void *context)
{
	read_file(context);
}

static bool open_client(struct sync_session *session, GError **error)
{
	const struct store_options *store = &session->options.store;
	struct kv_client_options options = {
		.base = session->base,
		.server = store->server,
		.token_file = store->token_file,
		.timeout_ms = store->timeout_ms,
	};

	session->client = kv_client_new(&options, error);
	session->rules_key = g_strdup_printf("%s/rules", store->key_prefix);
	session->status_key = g_strdup_printf("%s/status/", store->key_prefix);
	return session->client != NULL;
}

static bool open_sync(struct sync_session *session, GError **error)
{
	struct rules_sync_options options = {
		.seed = ((uint64_t)g_random_int() << 32) | g_random_int(),
		.context = session,
		.read = start_read,
		.write = start_write,
		.schedule_retry = start_retry_timer,
		.report_outcomes = handle_outcome,
	};
	struct rules_base *base =
		sync_state_read(session->options.state_path, error);

	if (base)
		session->sync = rules_sync_new(&options, base);
	return base != NULL;
}

static bool open_watch(struct sync_session *session, GError **error)
{
	struct file_watch_options options = {
		.base = session->base,
		.path = session->options.path,
		.context = session,
		.on_saved = on_saved,
	};

	if (session->options.is_once)
		return true;
	session->watch = file_watch_new(&options, error);
	return session->watch != NULL;
}

/*
 * Makes a session, which starts in sync_session_run. Free it with
 * sync_session_free. Fails with PLATFORM_ERROR_SECRET_FILE or G_FILE_ERROR.
 */
struct sync_session *
sync_session_new(const struct sync_session_options *options, GError **error)
{
	struct sync_session *session = g_new0(struct sync_session, 1);

	session->options = *options;
	session->base = event_base_new();
	session->printer =
		sync_printer_new(options->path, options->store.is_json);
	session->retry_event =
		event_new(session->base, -1, 0, on_retry, session);
	session->status_event =
		event_new(session->base, -1, 0, on_status_due, session);
	session->timeout_event =
		event_new(session->base, -1, 0, on_timeout, session);
	if (open_client(session, error) && open_sync(session, error) &&
	    open_watch(session, error))
		return session;
	sync_session_free(session);
	return NULL;
}

/* Frees the session; NULL is allowed. */
void sync_session_free(struct sync_session *session)
{
	if (!session)
		return;
	file_watch_free(session->watch);
	kv_client_free(session->client);
	rules_sync_free(session->sync);
	sync_printer_free(session->printer);
	event_free(session->retry_event);
	event_free(session->status_event);
	event_free(session->timeout_event);
	event_base_free(session->base);
	g_free(session->rules_key);
	g_free(session->status_key);
	g_free(session);
}

static int exit_code_of(const struct sync_session *session)
{
	if (!session->is_merged)
		return EXIT_CODE_UNAVAILABLE;
	if (session->rejected_count > 0)
		return EXIT_CODE_BAD_DATA;
	if (sync_printer_pending_count(session->printer) > 0)
		return EXIT_CODE_FAILED;
	return EXIT_CODE_DONE;
}

/*
 * Runs until the process is killed or, with is_once, until all lines are in
 * force or wait_s is over. Returns the command's exit code: 65 if a line was
 * rejected or the file cannot be read, 69 if the store was not available, 1 if
 * a line is not yet in force on all nodes.
 */
int sync_session_run(struct sync_session *session)
{
	if (!read_file(session) && session->options.is_once)
		return EXIT_CODE_BAD_DATA;
	if (session->options.is_once)
		start_timer(session->timeout_event, session->options.wait_s, 0);
	event_base_loop(session->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return exit_code_of(session);
}
