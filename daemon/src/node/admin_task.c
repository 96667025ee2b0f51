#include <daemon/admin_task.h>

#include "route_queries.h"

#include <daemon/asked_message.h>
#include <daemon/daemon_error.h>
#include <daemon/drain_message.h>
#include <daemon/metrics_message.h>
#include <daemon/ready_message.h>
#include <daemon/route_message.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <task/http_server.h>
#include <task/timer.h>

/* Minimum interval of asked messages, however often someone asks. */
#define ASKED_INTERVAL_MS 100

#define MAILBOX_CAPACITY 256
#define SCRAPE_TIMEOUT_MS 500
#define HEADER_BYTES_MAX 8192
#define IDLE_TIMEOUT_S 30
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/*
 * One /metrics request, which gets its response when all tasks have replied or
 * after SCRAPE_TIMEOUT_MS.
 */
struct scrape {
	struct admin_task *admin;
	uint64_t request_id;
	uint32_t pending_count;
	struct evhttp_request *request;
	GString *text;
	struct timer *timer;
};

struct admin_task {
	struct task *task;
	struct admin_task_options options;
	struct evhttp *http;
	GHashTable *scrapes;
	struct route_queries *routes;
	uint64_t next_request_id;
	bool is_ready;
	bool is_isolated;
	bool is_draining;
	int64_t asked_ms;
};

static void send_response(struct evhttp_request *request, int status,
			  const char *text)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "text/plain; version=0.0.4");
	evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s",
			    text);
	evhttp_send_reply(request, status, NULL, NULL);
}

static void scrape_free(gpointer data)
{
	struct scrape *scrape = data;

	timer_free(scrape->timer);
	g_string_free(scrape->text, TRUE);
	g_free(scrape);
}

static void finish_scrape(struct scrape *scrape)
{
	send_response(scrape->request, STATUS_OK, scrape->text->str);
	g_hash_table_remove(scrape->admin->scrapes, &scrape->request_id);
}

static void on_timeout(void *context)
{
	finish_scrape(context);
}

static void request_metrics(struct scrape *scrape)
{
	struct admin_task *admin = scrape->admin;

	for (uint32_t i = 0; i < admin->options.metrics_source_count; i++) {
		struct message *request =
			metrics_request_new(admin->task, scrape->request_id);

		if (task_post(admin->options.metrics_sources[i], request) ==
		    POST_ACCEPTED)
			scrape->pending_count++;
		else
			message_free(request);
	}
}

static void on_metrics(struct evhttp_request *request, void *context)
{
	struct admin_task *admin = context;
	struct scrape *scrape = g_new0(struct scrape, 1);

	scrape->admin = admin;
	scrape->request = request;
	scrape->request_id = admin->next_request_id++;
	scrape->text = g_string_new(NULL);
	scrape->timer = timer_new(admin->task, scrape, on_timeout);
	g_hash_table_insert(admin->scrapes, &scrape->request_id, scrape);
	request_metrics(scrape);
	if (scrape->pending_count == 0)
		finish_scrape(scrape);
	else
		timer_once(scrape->timer, SCRAPE_TIMEOUT_MS);
}

static void handle_metrics_reply(struct admin_task *admin,
				 struct message *message)
{
	const struct metrics_reply *reply = (struct metrics_reply *)message;
	struct scrape *scrape =
		g_hash_table_lookup(admin->scrapes, &reply->request_id);

	if (!scrape)
		return;
	g_string_append(scrape->text, reply->text->str);
	if (--scrape->pending_count == 0)
		finish_scrape(scrape);
}

static void on_healthz(struct evhttp_request *request, void *context)
{
	send_response(request, STATUS_OK, "ok\n");
}

static void report_asked(struct admin_task *admin)
{
	int64_t now_ms = task_now_ms();

	if (!admin->options.asked_sink ||
	    now_ms - admin->asked_ms < ASKED_INTERVAL_MS)
		return;
	admin->asked_ms = now_ms;
	task_post_or_free(admin->options.asked_sink, asked_message_new());
}

static const char *not_ready_text(const struct admin_task *admin)
{
	if (admin->is_draining)
		return "not ready: draining\n";
	return admin->is_isolated ? "not ready: isolated\n" : "not ready\n";
}

static void on_readyz(struct evhttp_request *request, void *context)
{
	struct admin_task *admin = context;

	if (!admin->is_ready || admin->is_draining) {
		send_response(request, STATUS_UNAVAILABLE,
			      not_ready_text(admin));
		return;
	}
	send_response(request, STATUS_OK, "ready\n");
	report_asked(admin);
}

static bool listen_on(struct admin_task *admin, const struct endpoint *listen,
		      GError **error)
{
	char address[IP_ADDR_TEXT_BYTES];

	ip_addr_format(&listen->addr, address);
	if (evhttp_bind_socket(admin->http, address, listen->port) == 0)
		return true;
	g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_START,
		    "cannot listen for admin requests on %s port %u", address,
		    listen->port);
	return false;
}

static bool start(void *context, struct task *task, GError **error)
{
	struct admin_task *admin = context;
	const struct settings *settings = admin->options.settings;

	admin->http = http_server_new(task_base(task));
	evhttp_set_allowed_methods(admin->http, EVHTTP_REQ_GET);
	evhttp_set_max_headers_size(admin->http, HEADER_BYTES_MAX);
	evhttp_set_max_body_size(admin->http, 0);
	evhttp_set_timeout(admin->http, IDLE_TIMEOUT_S);
	evhttp_set_cb(admin->http, "/metrics", on_metrics, admin);
	evhttp_set_cb(admin->http, "/healthz", on_healthz, admin);
	evhttp_set_cb(admin->http, "/readyz", on_readyz, admin);
	evhttp_set_cb(admin->http, "/route", route_queries_handle_request,
		      admin->routes);
	if (listen_on(admin, &settings->listen_admin, error) &&
	    (settings->listen_metrics.port == 0 ||
	     listen_on(admin, &settings->listen_metrics, error)))
		return true;
	evhttp_free(admin->http);
	admin->http = NULL;
	return false;
}

/* Once the drain has begun, a ready_message no longer makes the node ready. */
static void handle_drain(struct admin_task *admin, struct message *message)
{
	const struct drain_message *drain = (struct drain_message *)message;
	struct message *drained = drained_message_new(admin->task);

	admin->is_draining = true;
	task_post_or_free(drain->reply_to, drained);
}

static void handle_ready(struct admin_task *admin, struct message *message)
{
	const struct ready_message *ready = (struct ready_message *)message;

	admin->is_ready = ready->is_ready;
	admin->is_isolated = ready->is_isolated;
}

static void handle(void *context, struct message *message)
{
	struct admin_task *admin = context;

	if (message->type == &metrics_reply_type)
		handle_metrics_reply(admin, message);
	else if (message->type == &route_reply_type)
		route_queries_handle_reply(admin->routes, message);
	else if (message->type == &ready_message_type)
		handle_ready(admin, message);
	else if (message->type == &drain_message_type)
		handle_drain(admin, message);
	message_free(message);
}

static void stop(void *context)
{
	struct admin_task *admin = context;

	g_hash_table_remove_all(admin->scrapes);
	route_queries_clear(admin->routes);
	evhttp_free(admin->http);
	admin->http = NULL;
}

static void make_routes(struct admin_task *admin)
{
	struct route_queries_options options = {
		.admin = admin->task,
		.relay = admin->options.route_source,
	};

	admin->routes = route_queries_new(&options);
}

/*
 * Creates the admin task. The settings and the tasks in metrics_sources must
 * outlive it. Free it with admin_task_free.
 */
struct admin_task *admin_task_new(const struct admin_task_options *options,
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
	admin->scrapes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, scrape_free);
	admin->task = task_new(&task_options, error);
	if (admin->task) {
		make_routes(admin);
		return admin;
	}
	admin_task_free(admin);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void admin_task_free(struct admin_task *admin)
{
	if (!admin)
		return;
	task_free(admin->task);
	g_hash_table_destroy(admin->scrapes);
	route_queries_free(admin->routes);
	g_free(admin);
}

/* Returns the underlying task, to start it and to post messages to it. */
struct task *admin_task_task(struct admin_task *admin)
{
	return admin->task;
}
