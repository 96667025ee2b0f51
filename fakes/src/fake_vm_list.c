#include <fakes/fake_vm_list.h>

#include "http_cut.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <task/task.h>
#include <task/task_error.h>
#include <wire/sock_addr.h>

#define MAILBOX_CAPACITY 64
#define STATUS_OK 200

/* The lock guards the text and the count. */
struct fake_vm_list {
	struct fake_vm_list_options options;
	struct task *task;
	struct evhttp *http;
	struct endpoint endpoint;
	pthread_mutex_t lock;
	char *text;
	uint64_t read_count;
};

static void on_request(struct evhttp_request *request, void *context)
{
	struct fake_vm_list *list = context;

	pthread_mutex_lock(&list->lock);
	list->read_count++;
	if (list->text) {
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     list->text, strlen(list->text));
		evhttp_send_reply(request, STATUS_OK, "OK", NULL);
	} else {
		http_cut(request);
	}
	pthread_mutex_unlock(&list->lock);
}

static void note_endpoint(struct fake_vm_list *list,
			  struct evhttp_bound_socket *bound)
{
	struct sockaddr_storage storage;
	socklen_t length = sizeof(storage);

	if (getsockname(evhttp_bound_socket_get_fd(bound),
			(struct sockaddr *)&storage, &length) == 0)
		sock_addr_to_endpoint(&list->endpoint, &storage);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct fake_vm_list *list = context;
	char address[IP_ADDR_TEXT_BYTES];
	struct evhttp_bound_socket *bound;

	http_cut_prepare();
	list->http = evhttp_new(task_base(task));
	evhttp_set_gencb(list->http, on_request, list);
	bound = evhttp_bind_socket_with_handle(
		list->http, ip_addr_format(&list->options.listen.addr, address),
		list->options.listen.port);
	if (bound) {
		note_endpoint(list, bound);
		return true;
	}
	g_set_error(error, TASK_ERROR, TASK_ERROR_SOCKET,
		    "the stand-in VM list cannot listen on %s", address);
	evhttp_free(list->http);
	list->http = NULL;
	return false;
}

static void handle(void *context, struct message *message)
{
	message_free(message);
}

static void stop(void *context)
{
	struct fake_vm_list *list = context;

	evhttp_free(list->http);
	list->http = NULL;
}

/*
 * Starts a list; port 0 takes any free one. The caller frees it with
 * fake_vm_list_free. Fails with TASK_ERROR.
 */
struct fake_vm_list *
fake_vm_list_new(const struct fake_vm_list_options *options, GError **error)
{
	struct fake_vm_list *list = g_new0(struct fake_vm_list, 1);
	struct task_options task_options = {
		.name = "fake_vm_list",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = list,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	list->options = *options;
	list->text = g_strdup(options->text);
	pthread_mutex_init(&list->lock, NULL);
	list->task = task_new(&task_options, error);
	if (list->task && task_start(list->task, error))
		return list;
	fake_vm_list_free(list);
	return NULL;
}

/* Stops and frees the list; NULL is allowed. */
void fake_vm_list_free(struct fake_vm_list *list)
{
	if (!list)
		return;
	task_free(list->task);
	pthread_mutex_destroy(&list->lock);
	g_free(list->text);
	g_free(list);
}

/* Returns the address it listens on. */
struct endpoint fake_vm_list_endpoint(const struct fake_vm_list *list)
{
	return list->endpoint;
}

/* Sets the text that the next read gets; NULL cuts it off. */
void fake_vm_list_set(struct fake_vm_list *list, const char *text)
{
	pthread_mutex_lock(&list->lock);
	g_free(list->text);
	list->text = g_strdup(text);
	pthread_mutex_unlock(&list->lock);
}

/* Returns how many reads arrived. */
uint64_t fake_vm_list_read_count(struct fake_vm_list *list)
{
	uint64_t count;

	pthread_mutex_lock(&list->lock);
	count = list->read_count;
	pthread_mutex_unlock(&list->lock);
	return count;
}
