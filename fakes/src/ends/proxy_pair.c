#include "proxy_pair.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fakes/socket_reset.h>
#include <task/timer.h>
#include <wire/sock_addr.h>

/* One way through the proxy; what waits for its delay stays in the input. */
struct proxy_way {
	struct proxy_pair *pair;
	struct bufferevent *from;
	struct bufferevent *to;
	struct timer *timer;
	bool is_waiting;
	/* No more will come; the pair ends once the rest has been sent. */
	bool is_ended;
};

struct proxy_pair {
	struct proxy_pair_options options;
	struct bufferevent *client;
	struct bufferevent *server;
	struct proxy_way to_server;
	struct proxy_way to_client;
};

static bool is_cut(const struct proxy_way *way)
{
	const struct tcp_proxy_fault *fault = way->pair->options.fault;

	return way == &way->pair->to_server ? fault->is_cut_to_server
					    : fault->is_cut_to_client;
}

/* Ends the pair when nothing is left to send; returns whether it did. */
static bool end_when_sent(struct proxy_way *way)
{
	struct proxy_pair *pair = way->pair;

	if (!way->is_ended || way->is_waiting ||
	    evbuffer_get_length(bufferevent_get_input(way->from)) > 0 ||
	    evbuffer_get_length(bufferevent_get_output(way->to)) > 0)
		return false;
	pair->options.ended(pair->options.context, pair);
	return true;
}

/* Returns whether the pair has ended with it. */
static bool pass_on(struct proxy_way *way)
{
	if (is_cut(way))
		return false;
	bufferevent_write_buffer(way->to, bufferevent_get_input(way->from));
	return end_when_sent(way);
}

static void on_sent(struct bufferevent *bufferevent, void *context)
{
	struct proxy_way *back = context;
	struct proxy_pair *pair = back->pair;

	end_when_sent(back == &pair->to_server ? &pair->to_client
					       : &pair->to_server);
}

static void on_delay_over(void *context)
{
	struct proxy_way *way = context;

	way->is_waiting = false;
	pass_on(way);
}

static void on_read(struct bufferevent *bufferevent, void *context)
{
	struct proxy_way *way = context;
	uint32_t delay_ms = way->pair->options.fault->delay_ms;

	if (delay_ms == 0 && !way->is_waiting) {
		pass_on(way);
		return;
	}
	if (way->is_waiting)
		return;
	way->is_waiting = true;
	timer_once(way->timer, delay_ms);
}

static void on_event(struct bufferevent *bufferevent, short what, void *context)
{
	struct proxy_way *way = context;
	struct proxy_pair *pair = way->pair;

	if (what & BEV_EVENT_ERROR) {
		pair->options.ended(pair->options.context, pair);
	} else if (what & BEV_EVENT_EOF) {
		way->is_ended = true;
		if (!way->is_waiting)
			pass_on(way);
	}
}

static void connect_way(struct proxy_way *way, struct proxy_pair *pair,
			struct bufferevent *from, struct bufferevent *to)
{
	way->pair = pair;
	way->from = from;
	way->to = to;
	way->timer = timer_new(pair->options.task, way, on_delay_over);
	bufferevent_setcb(from, on_read, on_sent, on_event, way);
	bufferevent_enable(from, EV_READ | EV_WRITE);
}

/* Takes over a client's socket and connects to the server for it. */
struct proxy_pair *proxy_pair_new(const struct proxy_pair_options *options)
{
	struct proxy_pair *pair = g_new0(struct proxy_pair, 1);
	struct event_base *base = task_base(options->task);
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, &options->server);

	pair->options = *options;
	pair->client = bufferevent_socket_new(base, options->client_fd,
					      BEV_OPT_CLOSE_ON_FREE);
	pair->server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	connect_way(&pair->to_server, pair, pair->client, pair->server);
	connect_way(&pair->to_client, pair, pair->server, pair->client);
	bufferevent_socket_connect(pair->server, (struct sockaddr *)&storage,
				   (int)length);
	return pair;
}

/* Ends both connections. */
void proxy_pair_free(struct proxy_pair *pair)
{
	if (pair->options.fault->is_reset)
		socket_reset_on_close(bufferevent_getfd(pair->client));
	timer_free(pair->to_server.timer);
	timer_free(pair->to_client.timer);
	bufferevent_free(pair->client);
	bufferevent_free(pair->server);
	g_free(pair);
}

/* Passes on what waited for the end of a cut; may end the pair. */
void proxy_pair_fault_changed(struct proxy_pair *pair)
{
	if (!pair->to_server.is_waiting && pass_on(&pair->to_server))
		return;
	if (!pair->to_client.is_waiting)
		pass_on(&pair->to_client);
}
