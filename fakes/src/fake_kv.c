#include <fakes/fake_kv.h>

#include "fake_delayed_responses.h"
#include "fake_kv_call.h"
#include "fake_kv_era.h"
#include "fake_kv_watches.h"
#include "http_abort.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <task/http_server.h>
#include <task/task.h>
#include <task/task_error.h>
#include <task/timer.h>
#include <wire/sock_addr.h>

#define MAILBOX_CAPACITY 64
#define EXPIRE_INTERVAL_MS 100
#define STATUS_OK 200
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404

/*
 * lock guards the members below it, since tests change the store and its faults
 * from their own thread.
 */
struct fake_kv {
	struct fake_kv_options options;
	struct task *task;
	struct evhttp *http;
	struct timer *expire_timer;
	struct endpoint endpoint;
	pthread_mutex_t lock;
	struct fake_kv_store *store;
	struct fake_kv_fault fault;
	struct fake_kv_watches *watches;
	struct fake_delayed_responses *delayed_responses;
	uint64_t read_count;
	uint64_t write_count;
	uint64_t watch_count;
};

static void send_reply(struct evhttp_request *request, int status,
		       const char *text)
{
	evbuffer_add(evhttp_request_get_output_buffer(request), text,
		     strlen(text));
	evhttp_send_reply(request, status, NULL, NULL);
}

static void send_due_watches(struct fake_kv *kv)
{
	if (!kv->fault.is_watch_stalled && !kv->fault.is_down)
		fake_kv_watches_send(kv->watches, task_now_ms());
}

static void open_watch(struct fake_kv *kv, struct evhttp_request *request,
		       const struct fake_kv_call *call)
{
	kv->watch_count++;
	fake_kv_watches_open(
		kv->watches, request, fake_kv_call_param(call, "prefix"),
		fake_kv_call_int_param(call, "after"),
		task_now_ms() + fake_kv_call_int_param(call, "waitMs"));
	send_due_watches(kv);
}

static bool consume_lost_response(struct fake_kv *kv)
{
	if (kv->fault.lost_response_skip_count > 0) {
		kv->fault.lost_response_skip_count--;
		return false;
	}
	if (kv->fault.lost_response_count == 0)
		return false;
	kv->fault.lost_response_count--;
	return true;
}

static void run_route(struct fake_kv *kv, const struct fake_kv_route *route,
		      struct evhttp_request *request,
		      const struct fake_kv_call *call)
{
	int status = STATUS_OK;
	json_t *result = route->run(kv->store, call, &status);
	char *text = json_dumps(result, JSON_COMPACT);

	json_decref(result);
	fake_kv_era_add(kv->store, request);
	if (route->is_write)
		kv->write_count++;
	else
		kv->read_count++;
	if (kv->fault.is_body_truncated && strlen(text) > 1)
		text[strlen(text) / 2] = '\0';
	if (route->is_write && consume_lost_response(kv)) {
		http_abort(request);
		free(text);
	} else if (kv->fault.delay_ms > 0) {
		fake_delayed_responses_add(
			kv->delayed_responses, task_base(kv->task),
			kv->fault.delay_ms, request, status, text);
	} else {
		send_reply(request, status, text);
		free(text);
	}
	send_due_watches(kv);
}

/* Serves the request counts to benchmark scripts. */
static void send_counts(struct fake_kv *kv, struct evhttp_request *request)
{
	char *text = g_strdup_printf(
		"reads %" PRIu64 "\nwrites %" PRIu64 "\nwatches %" PRIu64 "\n",
		kv->read_count, kv->write_count, kv->watch_count);

	send_reply(request, STATUS_OK, text);
	g_free(text);
}

static bool is_authorized(const struct fake_kv *kv,
			  struct evhttp_request *request)
{
	const char *token = evhttp_find_header(
		evhttp_request_get_input_headers(request), "Authorization");

	return !kv->options.token ||
	       (token && strcmp(token, kv->options.token) == 0);
}

static void serve(struct fake_kv *kv, struct evhttp_request *request,
		  const struct fake_kv_call *call)
{
	const struct fake_kv_route *route = fake_kv_call_route(call);

	fake_kv_store_expire(kv->store, task_now_ms());
	if (strcmp(call->path, "/counts") == 0)
		send_counts(kv, request);
	else if (kv->fault.is_down)
		http_abort(request);
	else if (kv->fault.refusal_status != 0)
		evhttp_send_error(request, (int)kv->fault.refusal_status, NULL);
	else if (!is_authorized(kv, request))
		evhttp_send_error(request, STATUS_UNAUTHORIZED, NULL);
	else if (route)
		run_route(kv, route, request, call);
	else if (strcmp(call->path, "/-/kv-watch") == 0)
		open_watch(kv, request, call);
	else
		evhttp_send_error(request, STATUS_NOT_FOUND, NULL);
}

static void on_request(struct evhttp_request *request, void *context)
{
	struct fake_kv *kv = context;
	struct fake_kv_call call;

	fake_kv_call_read(&call, request);
	pthread_mutex_lock(&kv->lock);
	serve(kv, request, &call);
	pthread_mutex_unlock(&kv->lock);
	fake_kv_call_clear(&call);
}

static void on_expire(void *context)
{
	struct fake_kv *kv = context;

	pthread_mutex_lock(&kv->lock);
	fake_kv_store_expire(kv->store, task_now_ms());
	send_due_watches(kv);
	if (kv->fault.is_down)
		fake_kv_watches_disconnect(kv->watches);
	pthread_mutex_unlock(&kv->lock);
}

static void read_bound_endpoint(struct fake_kv *kv,
				struct evhttp_bound_socket *bound)
{
	struct sockaddr_storage storage;
	socklen_t length = sizeof(storage);

	if (getsockname(evhttp_bound_socket_get_fd(bound),
			(struct sockaddr *)&storage, &length) == 0)
		sock_addr_to_endpoint(&kv->endpoint, &storage);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct fake_kv *kv = context;
	char address[IP_ADDR_TEXT_BYTES];
	struct evhttp_bound_socket *bound;

	http_abort_block_sigpipe();
	kv->http = http_server_new(task_base(task));
	evhttp_set_gencb(kv->http, on_request, kv);
	bound = evhttp_bind_socket_with_handle(
		kv->http, ip_addr_format(&kv->options.listen.addr, address),
		kv->options.listen.port);
	if (!bound) {
		g_set_error(error, TASK_ERROR, TASK_ERROR_SOCKET,
			    "fake store cannot listen on %s", address);
		evhttp_free(kv->http);
		kv->http = NULL;
		return false;
	}
	read_bound_endpoint(kv, bound);
	kv->expire_timer = timer_new(task, kv, on_expire);
	timer_every(kv->expire_timer, EXPIRE_INTERVAL_MS);
	return true;
}

/*
 * Processes a change made by another thread, since only the task may use its
 * connections.
 */
static void handle(void *context, struct message *message)
{
	on_expire(context);
	message_free(message);
}

static void wake_free(struct message *message)
{
	g_free(message);
}

static const struct message_type wake_type = {"wake", wake_free};

/* If the message cannot be posted, the next timer tick processes the change. */
static void wake_task(struct fake_kv *kv)
{
	struct message *message = g_new0(struct message, 1);

	message->type = &wake_type;
	if (task_post(kv->task, message) != POST_ACCEPTED)
		message_free(message);
}

static void stop(void *context)
{
	struct fake_kv *kv = context;

	timer_free(kv->expire_timer);
	fake_delayed_responses_clear(kv->delayed_responses);
	evhttp_free(kv->http);
	kv->http = NULL;
}

/*
 * Starts a store; port 0 chooses any free port. Free it with fake_kv_free.
 * Fails with TASK_ERROR.
 */
struct fake_kv *fake_kv_new(const struct fake_kv_options *options,
			    GError **error)
{
	struct fake_kv *kv = g_new0(struct fake_kv, 1);
	struct task_options task_options = {
		.name = "fake_kv",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = kv,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	kv->options = *options;
	kv->store = fake_kv_store_new();
	kv->watches = fake_kv_watches_new(&kv->lock, kv->store);
	kv->delayed_responses = fake_delayed_responses_new(send_reply);
	pthread_mutex_init(&kv->lock, NULL);
	kv->task = task_new(&task_options, error);
	if (kv->task && task_start(kv->task, error))
		return kv;
	fake_kv_free(kv);
	return NULL;
}

/* Stops and frees the store; NULL is allowed. */
void fake_kv_free(struct fake_kv *kv)
{
	if (!kv)
		return;
	task_free(kv->task);
	fake_kv_watches_free(kv->watches);
	fake_delayed_responses_free(kv->delayed_responses);
	fake_kv_store_free(kv->store);
	pthread_mutex_destroy(&kv->lock);
	g_free(kv);
}

/* Returns the address that the store listens on. */
struct endpoint fake_kv_endpoint(const struct fake_kv *kv)
{
	return kv->endpoint;
}

/* Replaces the faults, from the next request on. */
void fake_kv_set_fault(struct fake_kv *kv, const struct fake_kv_fault *fault)
{
	pthread_mutex_lock(&kv->lock);
	kv->fault = *fault;
	pthread_mutex_unlock(&kv->lock);
	wake_task(kv);
}

/*
 * Writes a key, regardless of faults, to simulate a change by an operator or a
 * target.
 */
void fake_kv_put(struct fake_kv *kv, const char *key, const char *value)
{
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));
	json_t *request = json_pack("{s:[{s:s, s:s}]}", "puts", "key", key,
				    "value", encoded);
	int status;

	pthread_mutex_lock(&kv->lock);
	json_decref(fake_kv_store_txn(kv->store, request, &status));
	pthread_mutex_unlock(&kv->lock);
	json_decref(request);
	wake_task(kv);
	g_free(encoded);
}

/* Removes a key, regardless of faults. */
void fake_kv_remove(struct fake_kv *kv, const char *key)
{
	json_t *request = json_pack("{s:[s]}", "remove", key);
	int status;

	pthread_mutex_lock(&kv->lock);
	json_decref(fake_kv_store_txn(kv->store, request, &status));
	pthread_mutex_unlock(&kv->lock);
	json_decref(request);
	wake_task(kv);
}

/*
 * Discards the history, so that watches cannot resume from an older revision.
 */
void fake_kv_compact(struct fake_kv *kv)
{
	pthread_mutex_lock(&kv->lock);
	fake_kv_store_compact(kv->store);
	pthread_mutex_unlock(&kv->lock);
}

/* Saves the current keys and revision for fake_kv_restore. */
void fake_kv_snapshot(struct fake_kv *kv)
{
	pthread_mutex_lock(&kv->lock);
	fake_kv_store_snapshot(kv->store);
	pthread_mutex_unlock(&kv->lock);
}

/*
 * Restores the keys and the revision of the last snapshot, to simulate a
 * restore by an operator of the store. The header Store-Era rises by one.
 */
void fake_kv_restore(struct fake_kv *kv)
{
	pthread_mutex_lock(&kv->lock);
	fake_kv_store_restore(kv->store);
	pthread_mutex_unlock(&kv->lock);
}

static uint64_t read_locked(struct fake_kv *kv, const uint64_t *count)
{
	uint64_t value;

	pthread_mutex_lock(&kv->lock);
	value = *count;
	pthread_mutex_unlock(&kv->lock);
	return value;
}

/* Returns the number of reads that were executed. */
uint64_t fake_kv_read_count(struct fake_kv *kv)
{
	return read_locked(kv, &kv->read_count);
}

/* Returns the number of writes and lease requests that were executed. */
uint64_t fake_kv_write_count(struct fake_kv *kv)
{
	return read_locked(kv, &kv->write_count);
}

/* Returns the number of watches opened. */
uint64_t fake_kv_watch_count(struct fake_kv *kv)
{
	return read_locked(kv, &kv->watch_count);
}
