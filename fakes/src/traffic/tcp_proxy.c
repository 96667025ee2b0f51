#include <fakes/tcp_proxy.h>

#include "proxy_connection.h"

#include <event2/listener.h>
#include <fakes/socket_reset.h>
#include <stdatomic.h>
#include <task/task_error.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define MAILBOX_CAPACITY 64

struct tcp_proxy {
	struct tcp_proxy_options options;
	struct task *task;
	struct evconnlistener *listener;
	struct tcp_proxy_fault fault;
	GPtrArray *connections;
	atomic_uint_least64_t bytes_to_clients;
};

struct fault_message {
	struct message message;
	struct tcp_proxy_fault fault;
};

static void fault_message_free(struct message *message)
{
	g_free(message);
}

static const struct message_type fault_message_type = {"proxy_fault",
						       fault_message_free};

static void on_closed(void *context, struct proxy_connection *connection)
{
	struct tcp_proxy *proxy = context;

	g_ptr_array_remove_fast(proxy->connections, connection);
}

static void on_sent_to_client(void *context, size_t length_bytes)
{
	struct tcp_proxy *proxy = context;

	atomic_fetch_add(&proxy->bytes_to_clients, length_bytes);
}

static void reset_client(evutil_socket_t fd)
{
	socket_reset_on_close(fd);
	close(fd);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	struct tcp_proxy *proxy = context;
	struct proxy_connection_options options = {
		.task = proxy->task,
		.client_fd = fd,
		.server = proxy->options.server,
		.fault = &proxy->fault,
		.context = proxy,
		.on_closed = on_closed,
		.on_sent_to_client = on_sent_to_client,
	};

	if (proxy->fault.is_reset)
		reset_client(fd);
	else
		g_ptr_array_add(proxy->connections,
				proxy_connection_new(&options));
}

static bool start(void *context, struct task *task, GError **error)
{
	struct tcp_proxy *proxy = context;
	struct sockaddr_storage storage;
	socklen_t length =
		sock_addr_from_endpoint(&storage, &proxy->options.listen);
	char text[ENDPOINT_TEXT_BYTES];

	proxy->listener = evconnlistener_new_bind(
		task_base(task), on_accept, proxy,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		-1, (struct sockaddr *)&storage, (int)length);
	if (proxy->listener)
		return true;
	g_set_error(error, TASK_ERROR, TASK_ERROR_SOCKET,
		    "TCP proxy cannot listen on %s",
		    endpoint_format(&proxy->options.listen, text));
	return false;
}

static void handle(void *context, struct message *message)
{
	struct tcp_proxy *proxy = context;
	const struct fault_message *update =
		(const struct fault_message *)message;

	proxy->fault = update->fault;
	if (proxy->fault.is_reset)
		g_ptr_array_set_size(proxy->connections, 0);
	/*
	 * Iterates backwards, since connections that close are removed from the
	 * array.
	 */
	for (uint32_t i = proxy->connections->len; i-- > 0;)
		proxy_connection_apply_fault(
			g_ptr_array_index(proxy->connections, i));
	message_free(message);
}

static void stop(void *context)
{
	struct tcp_proxy *proxy = context;

	evconnlistener_free(proxy->listener);
	g_ptr_array_set_size(proxy->connections, 0);
}

/*
 * Starts a proxy that forwards to options->server. Free it with tcp_proxy_free.
 * Fails with TASK_ERROR.
 */
struct tcp_proxy *tcp_proxy_new(const struct tcp_proxy_options *options,
				GError **error)
{
	struct tcp_proxy *proxy = g_new0(struct tcp_proxy, 1);
	struct task_options task_options = {
		.name = "proxy",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = proxy,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	proxy->options = *options;
	proxy->connections = g_ptr_array_new_with_free_func(
		(GDestroyNotify)proxy_connection_free);
	proxy->task = task_new(&task_options, error);
	if (proxy->task && task_start(proxy->task, error))
		return proxy;
	tcp_proxy_free(proxy);
	return NULL;
}

/* Stops the proxy and closes its connections; NULL is allowed. */
void tcp_proxy_free(struct tcp_proxy *proxy)
{
	if (!proxy)
		return;
	task_free(proxy->task);
	g_ptr_array_free(proxy->connections, TRUE);
	g_free(proxy);
}

/* Replaces the injected fault, also for open connections. */
void tcp_proxy_set_fault(struct tcp_proxy *proxy,
			 const struct tcp_proxy_fault *fault)
{
	struct fault_message *update = g_new0(struct fault_message, 1);

	update->message.type = &fault_message_type;
	update->fault = *fault;
	task_post_or_free(proxy->task, &update->message);
}

/* Returns the number of bytes that the server has sent to clients. */
uint64_t tcp_proxy_bytes_to_clients(struct tcp_proxy *proxy)
{
	return atomic_load(&proxy->bytes_to_clients);
}
