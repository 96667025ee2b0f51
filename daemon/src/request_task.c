#include <daemon/request_task.h>

#include <core/reason.h>
#include <core/target_rank.h>
#include <daemon/daemon_error.h>
#include <daemon/metrics_message.h>
#include <daemon/rules_message.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <string.h>
#include <sys/queue.h>
#include <task/counter_set.h>
#include <task/log.h>
#include <unistd.h>

#define MAILBOX_CAPACITY 1024
#define STATUS_MISDIRECTED 421
#define STATUS_UNAVAILABLE 503
#define STATUS_UNKNOWN 504

enum request_counter {
	REQUESTS_RECEIVED,
	REQUESTS_ANSWERED,
	REQUESTS_NOT_RUN,
	REQUESTS_UNKNOWN,
	REQUEST_COUNTER_COUNT,
};

static const struct counter_row counter_rows[REQUEST_COUNTER_COUNT] = {
	[REQUESTS_RECEIVED] = {"shallot_requests_received_total",
			       "Requests read from callers.", COUNTER_TOTAL},
	[REQUESTS_ANSWERED] = {"shallot_requests_total{outcome=\"answered\"}",
			       "Requests ended, by outcome.", COUNTER_TOTAL},
	[REQUESTS_NOT_RUN] = {"shallot_requests_total{outcome=\"not_run\"}",
			      "Requests ended, by outcome.", COUNTER_TOTAL},
	[REQUESTS_UNKNOWN] = {"shallot_requests_total{outcome=\"unknown\"}",
			      "Requests ended, by outcome.", COUNTER_TOTAL},
};

struct request_task {
	struct task *task;
	const struct settings *settings;
	struct evhttp *http;
	struct rule_set *rules;
	struct counter_set *counters;
	struct log *log;
	uint64_t next_request_id;
	GPtrArray *connections;
};

/* A connection to a target, kept open for the next request to it. */
struct target_connection {
	uint64_t target_id;
	struct evhttp_connection *http;
	bool is_busy;
};

/* One request on its way to a target and back. */
struct exchange {
	struct request_task *requests;
	struct evhttp_request *from_caller;
	struct target_connection *to_target;
};

static void refuse(struct request_task *requests,
		   struct evhttp_request *from_caller, int status,
		   const char *outcome, enum request_counter counter)
{
	struct evkeyvalq *headers =
		evhttp_request_get_output_headers(from_caller);

	evhttp_add_header(headers, "Shallot-Outcome", outcome);
	counter_set_add(requests->counters, counter, 1);
	evhttp_send_reply(from_caller, status, outcome, NULL);
}

static void copy_headers(struct evkeyvalq *to, struct evkeyvalq *from)
{
	struct evkeyval *header;

	TAILQ_FOREACH (header, from, next)
		evhttp_add_header(to, header->key, header->value);
}

static void on_answer(struct evhttp_request *from_target, void *context)
{
	struct exchange *exchange = context;
	struct request_task *requests = exchange->requests;
	struct evhttp_request *from_caller = exchange->from_caller;
	int status =
		from_target ? evhttp_request_get_response_code(from_target) : 0;

	if (status == 0) {
		refuse(requests, from_caller, STATUS_UNKNOWN, "unknown",
		       REQUESTS_UNKNOWN);
	} else {
		copy_headers(evhttp_request_get_output_headers(from_caller),
			     evhttp_request_get_input_headers(from_target));
		counter_set_add(requests->counters, REQUESTS_ANSWERED, 1);
		evhttp_send_reply(from_caller, status, NULL,
				  evhttp_request_get_input_buffer(from_target));
	}
	exchange->to_target->is_busy = false;
	g_free(exchange);
}

static void target_connection_free(gpointer data)
{
	struct target_connection *connection = data;

	evhttp_connection_free(connection->http);
	g_free(connection);
}

static struct target_connection *connect_to(struct request_task *requests,
					    const struct target *target)
{
	struct target_connection *connection;
	char address[IP_ADDR_TEXT_BYTES];

	for (guint i = 0; i < requests->connections->len; i++) {
		connection = g_ptr_array_index(requests->connections, i);
		if (!connection->is_busy &&
		    connection->target_id == target->target_id)
			return connection;
	}
	ip_addr_format(&target->endpoint.addr, address);
	connection = g_new0(struct target_connection, 1);
	connection->target_id = target->target_id;
	connection->http =
		evhttp_connection_base_new(task_base(requests->task), NULL,
					   address, target->endpoint.port);
	g_ptr_array_add(requests->connections, connection);
	return connection;
}

static void forward(struct request_task *requests,
		    struct evhttp_request *from_caller,
		    const struct target *target)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	struct evhttp_request *request =
		evhttp_request_new(on_answer, exchange);

	exchange->requests = requests;
	exchange->from_caller = from_caller;
	exchange->to_target = connect_to(requests, target);
	exchange->to_target->is_busy = true;
	copy_headers(evhttp_request_get_output_headers(request),
		     evhttp_request_get_input_headers(from_caller));
	evbuffer_add_buffer(evhttp_request_get_output_buffer(request),
			    evhttp_request_get_input_buffer(from_caller));
	evhttp_make_request(exchange->to_target->http, request,
			    evhttp_request_get_command(from_caller),
			    evhttp_request_get_uri(from_caller));
}

/* The service whose name the Host header carries, or the only HTTP one. */
static const struct rule *find_rule(struct request_task *requests,
				    const char *host)
{
	uint32_t service_id = host ? service_id_from_name(host) : SERVICE_NONE;

	return rule_set_by_id(requests->rules, service_id);
}

static void on_request(struct evhttp_request *from_caller, void *context)
{
	struct request_task *requests = context;
	uint64_t request_id = requests->next_request_id++;
	const struct rule *rule =
		find_rule(requests, evhttp_request_get_host(from_caller));
	struct flow_print print = {.low = request_id};
	const struct target *target;
	char text[ENDPOINT_TEXT_BYTES];

	counter_set_add(requests->counters, REQUESTS_RECEIVED, 1);
	if (!rule) {
		refuse(requests, from_caller, STATUS_MISDIRECTED, "not-run",
		       REQUESTS_NOT_RUN);
		return;
	}
	target = target_rank_first(rule->targets, rule->target_count, print);
	if (!target) {
		refuse(requests, from_caller, STATUS_UNAVAILABLE, "not-run",
		       REQUESTS_NOT_RUN);
		return;
	}
	log_write(requests->log, LOG_LEVEL_INFO, "routing",
		  "request=%" PRIu64 " service=%s target=%s reason=%s",
		  request_id, rule->service.name,
		  endpoint_format(&target->endpoint, text),
		  reason_name(REASON_ADMITTED));
	forward(requests, from_caller, target);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct request_task *requests = context;
	const struct endpoint *listen = &requests->settings->listen_requests;
	char address[IP_ADDR_TEXT_BYTES];

	requests->http = evhttp_new(task_base(task));
	evhttp_set_gencb(requests->http, on_request, requests);
	ip_addr_format(&listen->addr, address);
	if (evhttp_bind_socket(requests->http, address, listen->port) == 0)
		return true;
	g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_START,
		    "cannot listen for requests on %s port %u", address,
		    listen->port);
	evhttp_free(requests->http);
	requests->http = NULL;
	return false;
}

static void handle(void *context, struct message *message)
{
	struct request_task *requests = context;

	if (message->type == &rules_message_type) {
		rule_set_free(requests->rules);
		requests->rules = rules_message_take(message);
	} else if (message->type == &metrics_request_type) {
		metrics_request_answer(message, requests->counters);
	}
	message_free(message);
}

static void stop(void *context)
{
	struct request_task *requests = context;

	g_ptr_array_set_size(requests->connections, 0);
	evhttp_free(requests->http);
	requests->http = NULL;
}

/*
 * Makes the request front end. The settings must outlive it; the caller frees
 * it with request_task_free.
 */
struct request_task *request_task_new(const struct settings *settings,
				      GError **error)
{
	struct request_task *requests = g_new0(struct request_task, 1);
	struct task_options options = {
		.name = "requests",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = requests,
		.start = start,
		.handle = handle,
		.stop = stop,
	};
	struct log_options log_options = {
		.program = "shallotd",
		.task = "requests",
		.level = (enum log_level)settings->log_level,
		.rate_per_s = settings->log_rate_per_s,
		.fd = STDERR_FILENO,
	};

	requests->settings = settings;
	requests->rules = rule_set_new(0);
	requests->counters =
		counter_set_new(counter_rows, REQUEST_COUNTER_COUNT);
	requests->log = log_new(&log_options);
	requests->connections =
		g_ptr_array_new_with_free_func(target_connection_free);
	requests->task = task_new(&options, error);
	if (requests->task)
		return requests;
	request_task_free(requests);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void request_task_free(struct request_task *requests)
{
	if (!requests)
		return;
	task_free(requests->task);
	rule_set_free(requests->rules);
	counter_set_free(requests->counters);
	log_free(requests->log);
	g_ptr_array_free(requests->connections, TRUE);
	g_free(requests);
}

/* Returns the task, to start it and to post messages to it. */
struct task *request_task_task(struct request_task *requests)
{
	return requests->task;
}
