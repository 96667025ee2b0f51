#include <daemon/admin_task.h>

#include <daemon/daemon_error.h>
#include <daemon/drain_message.h>
#include <daemon/metrics_message.h>
#include <daemon/ready_message.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <task/timer.h>

#define MAILBOX_CAPACITY 256
#define COLLECT_TIMEOUT_MS 500
#define HEADER_BYTES_MAX 8192
#define IDLE_TIMEOUT_S 30
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/* One /metrics request that waits for the tasks' answers. */
struct collection {
	struct admin_task *admin;
	uint64_t request_id;
	uint32_t awaited_count;
	struct evhttp_request *request;
	GString *text;
	struct timer *timer;
};

struct admin_task {
	struct task *task;
	struct admin_options options;
	struct evhttp *http;
	GHashTable *collections;
	uint64_t next_request_id;
	bool is_ready;
	bool is_draining;
};

static void reply_text(struct evhttp_request *request, int status,
		       const char *text)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "text/plain; version=0.0.4");
	evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s",
			    text);
	evhttp_send_reply(request, status, NULL, NULL);
}

static void collection_free(gpointer data)
{
	struct collection *collection = data;

	timer_free(collection->timer);
	g_string_free(collection->text, TRUE);
	g_free(collection);
}

static void finish(struct collection *collection)
{
	reply_text(collection->request, STATUS_OK, collection->text->str);
	g_hash_table_remove(collection->admin->collections,
			    &collection->request_id);
}

static void on_timeout(void *context)
{
	finish(context);
}

static void ask_sources(struct collection *collection)
{
	struct admin_task *admin = collection->admin;

	for (uint32_t i = 0; i < admin->options.source_count; i++) {
		struct message *request = metrics_request_new(
			admin->task, collection->request_id);

		if (task_post(admin->options.sources[i], request) == POST_TAKEN)
			collection->awaited_count++;
		else
			message_free(request);
	}
}

static void on_metrics(struct evhttp_request *request, void *context)
{
	struct admin_task *admin = context;
	struct collection *collection = g_new0(struct collection, 1);

	collection->admin = admin;
	collection->request = request;
	collection->request_id = admin->next_request_id++;
	collection->text = g_string_new(NULL);
	collection->timer = timer_new(admin->task, collection, on_timeout);
	g_hash_table_insert(admin->collections, &collection->request_id,
			    collection);
	ask_sources(collection);
	if (collection->awaited_count == 0)
		finish(collection);
	else
		timer_once(collection->timer, COLLECT_TIMEOUT_MS);
}

static void on_metrics_reply(struct admin_task *admin, struct message *message)
{
	const struct metrics_reply *reply = (struct metrics_reply *)message;
	struct collection *collection =
		g_hash_table_lookup(admin->collections, &reply->request_id);

	if (!collection)
		return;
	g_string_append(collection->text, reply->text->str);
	if (--collection->awaited_count == 0)
		finish(collection);
}

static void on_healthz(struct evhttp_request *request, void *context)
{
	reply_text(request, STATUS_OK, "ok\n");
}

static void on_readyz(struct evhttp_request *request, void *context)
{
	const struct admin_task *admin = context;

	if (admin->is_ready && !admin->is_draining)
		reply_text(request, STATUS_OK, "ready\n");
	else
		reply_text(request, STATUS_UNAVAILABLE, "not ready\n");
}

static bool listen_on(struct admin_task *admin, const struct endpoint *listen,
		      GError **error)
{
	char address[IP_ADDR_TEXT_BYTES];

	ip_addr_format(&listen->addr, address);
	if (evhttp_bind_socket(admin->http, address, listen->port) == 0)
		return true;
	g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_START,
		    "cannot listen for admin on %s port %u", address,
		    listen->port);
	return false;
}

static bool start(void *context, struct task *task, GError **error)
{
	struct admin_task *admin = context;
	const struct settings *settings = admin->options.settings;

	admin->http = evhttp_new(task_base(task));
	evhttp_set_allowed_methods(admin->http, EVHTTP_REQ_GET);
	evhttp_set_max_headers_size(admin->http, HEADER_BYTES_MAX);
	evhttp_set_max_body_size(admin->http, 0);
	evhttp_set_timeout(admin->http, IDLE_TIMEOUT_S);
	evhttp_set_cb(admin->http, "/metrics", on_metrics, admin);
	evhttp_set_cb(admin->http, "/healthz", on_healthz, admin);
	evhttp_set_cb(admin->http, "/readyz", on_readyz, admin);
	if (listen_on(admin, &settings->listen_admin, error) &&
	    (settings->listen_metrics.port == 0 ||
	     listen_on(admin, &settings->listen_metrics, error)))
		return true;
	evhttp_free(admin->http);
	admin->http = NULL;
	return false;
}

/* From here on the node is not ready, whatever other tasks say. */
static void on_drain(struct admin_task *admin, struct message *message)
{
	const struct drain_message *drain = (struct drain_message *)message;
	struct message *drained = drained_message_new(admin->task);

	admin->is_draining = true;
	task_post_or_free(drain->reply_to, drained);
}

static void handle(void *context, struct message *message)
{
	struct admin_task *admin = context;

	if (message->type == &metrics_reply_type)
		on_metrics_reply(admin, message);
	else if (message->type == &ready_message_type)
		admin->is_ready = ((struct ready_message *)message)->is_ready;
	else if (message->type == &drain_message_type)
		on_drain(admin, message);
	message_free(message);
}

static void stop(void *context)
{
	struct admin_task *admin = context;

	g_hash_table_remove_all(admin->collections);
	evhttp_free(admin->http);
	admin->http = NULL;
}

/*
 * Makes the admin task. Settings and sources must outlive it; the caller
 * frees it with admin_task_free.
 */
struct admin_task *admin_task_new(const struct admin_options *options,
				  GError **error)
{
	struct admin_task *admin = g_new0(struct admin_task, 1);
	struct task_options task_options = {
		.name = "admin",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = admin,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	admin->options = *options;
	admin->collections = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, collection_free);
	admin->task = task_new(&task_options, error);
	if (admin->task)
		return admin;
	admin_task_free(admin);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void admin_task_free(struct admin_task *admin)
{
	if (!admin)
		return;
	task_free(admin->task);
	g_hash_table_destroy(admin->collections);
	g_free(admin);
}

/* Returns the task, to start it and to post messages to it. */
struct task *admin_task_task(struct admin_task *admin)
{
	return admin->task;
}
