#include <fakes/fake_kv.h>

#include "fake_kv_call.h"
#include "fake_kv_watches.h"
#include "fake_late_answers.h"
#include "http_cut.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <task/task.h>
#include <task/task_error.h>
#include <task/timer.h>
#include <wire/sock_addr.h>

#define MAILBOX_CAPACITY 64
#define EXPIRE_INTERVAL_MS 100
#define STATUS_OK 200
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404

/* The lock guards all below it: tests set faults from their own thread. */
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
	struct fake_late_answers *late_answers;
	uint64_t read_count;
	uint64_t write_count;
	uint64_t watch_count;
};

static void answer(struct evhttp_request *request, int status, const char *text)
{
	evbuffer_add(evhttp_request_get_output_buffer(request), text,
		     strlen(text));
	evhttp_send_reply(request, status, NULL, NULL);
}

static void send_all_events(struct fake_kv *kv)
{
	if (!kv->fault.is_watch_stalled && !kv->fault.is_down)
		fake_kv_watches_send(kv->watches, task_now_ms());
}

static void open_watch(struct fake_kv *kv, struct evhttp_request *request,
		       const struct fake_kv_call *call)
{
	kv->watch_count++;
	fake_kv_watches_open(
		kv->watches, request, fake_kv_call_text(call, "prefix"),
		fake_kv_call_number(call, "after"),
		task_now_ms() + fake_kv_call_number(call, "waitMs"));
	send_all_events(kv);
}

static bool is_answer_lost(struct fake_kv *kv)
{
	if (kv->fault.lost_answer_skip > 0) {
		kv->fault.lost_answer_skip--;
		return false;
	}
	if (kv->fault.lost_answer_count == 0)
		return false;
	kv->fault.lost_answer_count--;
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
	if (route->is_write)
		kv->write_count++;
	else
		kv->read_count++;
	if (kv->fault.is_garbled && strlen(text) > 1)
		text[strlen(text) / 2] = '\0';
	if (route->is_write && is_answer_lost(kv)) {
		http_cut(request);
		free(text);
	} else if (kv->fault.delay_ms > 0) {
		fake_late_answers_add(kv->late_answers, task_base(kv->task),
				      kv->fault.delay_ms, request, status,
				      text);
	} else {
		answer(request, status, text);
		free(text);
	}
	send_all_events(kv);
}

/* For scripts that measure: how many calls took effect. */
static void answer_counts(struct fake_kv *kv, struct evhttp_request *request)
{
	char *text = g_strdup_printf(
		"reads %" PRIu64 "\nwrites %" PRIu64 "\nwatches %" PRIu64 "\n",
		kv->read_count, kv->write_count, kv->watch_count);

	answer(request, STATUS_OK, text);
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
		answer_counts(kv, request);
	else if (kv->fault.is_down)
		http_cut(request);
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
	send_all_events(kv);
	if (kv->fault.is_down)
		fake_kv_watches_cut(kv->watches);
	pthread_mutex_unlock(&kv->lock);
}

static void note_endpoint(struct fake_kv *kv, struct evhttp_bound_socket *bound)
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

	http_cut_prepare();
	kv->http = evhttp_new(task_base(task));
	evhttp_set_gencb(kv->http, on_request, kv);
	bound = evhttp_bind_socket_with_handle(
		kv->http, ip_addr_format(&kv->options.listen.addr, address),
		kv->options.listen.port);
	if (!bound) {
		g_set_error(error, TASK_ERROR, TASK_ERROR_SOCKET,
			    "the stand-in store cannot listen on %s", address);
		evhttp_free(kv->http);
		kv->http = NULL;
		return false;
	}
	note_endpoint(kv, bound);
	kv->expire_timer = timer_new(task, kv, on_expire);
	timer_every(kv->expire_timer, EXPIRE_INTERVAL_MS);
	return true;
}

/* Something changed from outside: only the task may touch its connections. */
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

/* A lost message is made good by the next tick. */
static void wake(struct fake_kv *kv)
{
	struct message *message = g_new0(struct message, 1);

	message->type = &wake_type;
	if (task_post(kv->task, message) != POST_TAKEN)
		message_free(message);
}

static void stop(void *context)
{
	struct fake_kv *kv = context;

	timer_free(kv->expire_timer);
	fake_late_answers_clear(kv->late_answers);
	evhttp_free(kv->http);
	kv->http = NULL;
}

/*
 * Starts a store; port 0 takes any free one. The caller frees it with
 * fake_kv_free. Fails with TASK_ERROR.
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
	kv->late_answers = fake_late_answers_new(answer);
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
	fake_late_answers_free(kv->late_answers);
	fake_kv_store_free(kv->store);
	pthread_mutex_destroy(&kv->lock);
	g_free(kv);
}

/* Returns the address it listens on. */
struct endpoint fake_kv_endpoint(const struct fake_kv *kv)
{
	return kv->endpoint;
}

/* Sets what goes wrong from the next call on. */
void fake_kv_set_fault(struct fake_kv *kv, const struct fake_kv_fault *fault)
{
	pthread_mutex_lock(&kv->lock);
	kv->fault = *fault;
	pthread_mutex_unlock(&kv->lock);
	wake(kv);
}

/* Writes a key as an operator or a target would, whatever the fault. */
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
	wake(kv);
	g_free(encoded);
}

/* Removes a key, whatever the fault. */
void fake_kv_remove(struct fake_kv *kv, const char *key)
{
	json_t *request = json_pack("{s:[s]}", "remove", key);
	int status;

	pthread_mutex_lock(&kv->lock);
	json_decref(fake_kv_store_txn(kv->store, request, &status));
	pthread_mutex_unlock(&kv->lock);
	json_decref(request);
	wake(kv);
}

/* Forgets the history, so that older watches cannot be resumed. */
void fake_kv_compact(struct fake_kv *kv)
{
	pthread_mutex_lock(&kv->lock);
	fake_kv_store_compact(kv->store);
	pthread_mutex_unlock(&kv->lock);
}

/* Keeps the keys as they are, for fake_kv_restore. */
void fake_kv_snapshot(struct fake_kv *kv)
{
	pthread_mutex_lock(&kv->lock);
	fake_kv_store_snapshot(kv->store);
	pthread_mutex_unlock(&kv->lock);
}

/* Puts the keys back as they were, as an operator of the store might. */
void fake_kv_restore(struct fake_kv *kv)
{
	pthread_mutex_lock(&kv->lock);
	fake_kv_store_restore(kv->store);
	pthread_mutex_unlock(&kv->lock);
}

static uint64_t locked_count(struct fake_kv *kv, const uint64_t *count)
{
	uint64_t value;

	pthread_mutex_lock(&kv->lock);
	value = *count;
	pthread_mutex_unlock(&kv->lock);
	return value;
}

/* Returns how many reads took effect. */
uint64_t fake_kv_read_count(struct fake_kv *kv)
{
	return locked_count(kv, &kv->read_count);
}

/* Returns how many writes and lease calls took effect. */
uint64_t fake_kv_write_count(struct fake_kv *kv)
{
	return locked_count(kv, &kv->write_count);
}

/* Returns how many watches were opened. */
uint64_t fake_kv_watch_count(struct fake_kv *kv)
{
	return locked_count(kv, &kv->watch_count);
}
