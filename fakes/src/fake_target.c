#include <fakes/fake_target.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <fakes/loopback.h>
#include <stdatomic.h>
#include <task/http_server.h>
#include <task/task_error.h>
#include <task/udp_socket.h>
#include <wire/sock_addr.h>

#define MAILBOX_CAPACITY 64
#define STATUS_OK 200

struct fake_target {
	struct fake_target_options options;
	struct task *task;
	struct evhttp *http;
	struct udp_socket *socket;
	struct endpoint endpoint;
	atomic_uint_fast64_t request_count;
	atomic_uint_fast64_t packet_count;
};

static void on_request(struct evhttp_request *request, void *context)
{
	struct fake_target *target = context;

	atomic_fetch_add(&target->request_count, 1);
	evbuffer_add_printf(evhttp_request_get_output_buffer(request),
			    "%s %s\n", target->options.name,
			    evhttp_request_get_uri(request));
	evhttp_send_reply(request, STATUS_OK, "OK", NULL);
}

static void on_packet(void *context, const struct endpoint *from,
		      const uint8_t *bytes, uint32_t length_bytes)
{
	struct fake_target *target = context;

	atomic_fetch_add(&target->packet_count, 1);
	if (target->options.observer.packet)
		target->options.observer.packet(
			target->options.observer.context, bytes, length_bytes);
}

static bool listen_http(struct fake_target *target, struct task *task,
			GError **error)
{
	char address[IP_ADDR_TEXT_BYTES];

	target->http = http_server_new(task_base(task));
	evhttp_set_gencb(target->http, on_request, target);
	ip_addr_format(&target->endpoint.addr, address);
	if (evhttp_bind_socket(target->http, address, target->endpoint.port) ==
	    0)
		return true;
	g_set_error(error, TASK_ERROR, TASK_ERROR_SOCKET,
		    "target %s cannot listen on %s port %u",
		    target->options.name, address, target->endpoint.port);
	evhttp_free(target->http);
	target->http = NULL;
	return false;
}

static void stop(void *context)
{
	struct fake_target *target = context;

	if (target->http)
		evhttp_free(target->http);
	udp_socket_free(target->socket);
	target->http = NULL;
	target->socket = NULL;
}

static bool start(void *context, struct task *task, GError **error)
{
	struct fake_target *target = context;
	struct udp_socket_options options = {
		.listen = target->endpoint,
		.context = target,
		.receive = on_packet,
	};

	target->socket = udp_socket_new(task, &options, error);
	if (!target->socket)
		return false;
	if (listen_http(target, task, error))
		return true;
	stop(target);
	return false;
}

static void handle(void *context, struct message *message)
{
	message_free(message);
}

/*
 * Starts a target; port 0 chooses a port of the process's loopback address that
 * is free for TCP and UDP. Free it with fake_target_free. Fails with
 * TASK_ERROR.
 */
struct fake_target *fake_target_new(const struct fake_target_options *options,
				    GError **error)
{
	struct fake_target *target = g_new0(struct fake_target, 1);
	struct task_options task_options = {
		.name = options->name,
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = target,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	target->options = *options;
	target->endpoint = options->listen;
	if (target->endpoint.port == 0)
		target->endpoint = loopback_free_endpoint();
	target->task = task_new(&task_options, error);
	if (target->task && task_start(target->task, error))
		return target;
	fake_target_free(target);
	return NULL;
}

/* Stops and frees the target; NULL is allowed. */
void fake_target_free(struct fake_target *target)
{
	if (!target)
		return;
	task_free(target->task);
	g_free(target);
}

/* Returns the address that the target listens on. */
struct endpoint fake_target_endpoint(const struct fake_target *target)
{
	return target->endpoint;
}

/* Returns the number of requests that the target has answered. */
uint64_t fake_target_request_count(const struct fake_target *target)
{
	return atomic_load(&((struct fake_target *)target)->request_count);
}

/* Returns the number of packets that the target has received. */
uint64_t fake_target_packet_count(const struct fake_target *target)
{
	return atomic_load(&((struct fake_target *)target)->packet_count);
}
