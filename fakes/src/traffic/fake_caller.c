#include <fakes/fake_caller.h>

#include "caller_flow.h"
#include "node_rotation.h"

#include <string.h>
#include <task/timer.h>
#include <task/udp_socket.h>

#define MAILBOX_CAPACITY 64
#define TICK_MS 10
#define MS_PER_S 1000
/*
 * Caller ports are assigned to flows in sequence. A port is used again, by a
 * flow with another sequence number, before the nodes expire idle flows.
 */
#define PORT_FIRST 1024
#define PORT_CYCLE_S 6
#define REQUEST_IDS_PER_FLOW 4096
#define PERCENT 100

struct fake_caller {
	struct fake_caller_options options;
	struct task *task;
	struct udp_socket *socket;
	struct timer *timer;
	struct node_rotation *rotation;
	GRand *rand;
	GHashTable *flows;
	GArray *routes;
	uint32_t weight_sum;
	uint32_t *loss_percent;
	uint32_t flow_count;
	uint32_t port_count;
	uint32_t opened_count;
	int64_t started_ms;
	bool is_finishing;
};

enum caller_command_kind {
	CALLER_SET_ROUTES,
	CALLER_SET_LOSS,
	CALLER_FINISH,
};

/* A command to the callers' task. */
struct caller_command {
	struct message message;
	enum caller_command_kind kind;
	GArray *routes;
	uint32_t node;
	uint32_t loss_percent;
};

static void command_free(struct message *message)
{
	struct caller_command *command = (struct caller_command *)message;

	if (command->routes)
		g_array_free(command->routes, TRUE);
	g_free(command);
}

static const struct message_type command_type = {"caller_order", command_free};

static uint64_t flow_hash_of(const struct flow_packet *packet)
{
	return endpoint_hash(&packet->source,
			     endpoint_hash(&packet->destination, 0));
}

/*
 * Acts as the router: sends a packet to the node chosen for its flow, unless
 * the simulated loss drops it.
 */
static void send_to_node(void *context, const struct flow_packet *packet)
{
	struct fake_caller *caller = context;
	uint8_t bytes[FLOW_PACKET_BYTES_MAX];
	uint32_t length_bytes = flow_packet_write(bytes, packet);
	uint32_t node =
		node_rotation_pick(caller->rotation, flow_hash_of(packet));

	if ((uint32_t)g_rand_int_range(caller->rand, 0, PERCENT) <
	    caller->loss_percent[node])
		return;
	udp_socket_send(caller->socket, &caller->options.nodes[node].packets,
			bytes, length_bytes);
}

static void on_flow_event(void *context, const struct flow_event *event)
{
	struct fake_caller *caller = context;

	caller->options.observer.on_event(caller->options.observer.context,
					  event);
}

static void on_packet(void *context, const struct endpoint *from,
		      const uint8_t *bytes, uint32_t length_bytes)
{
	struct fake_caller *caller = context;
	struct flow_packet packet = {.flags = 0};
	enum flow_packet_result result =
		flow_packet_read(&packet, bytes, length_bytes);
	struct caller_flow *flow = g_hash_table_lookup(
		caller->flows, GUINT_TO_POINTER(packet.destination.port));

	if (flow)
		caller_flow_receive(flow, &packet, result, task_now_ms());
}

static const struct caller_route *draw_route(struct fake_caller *caller)
{
	uint32_t drawn = (uint32_t)g_rand_int_range(caller->rand, 0,
						    (gint32)caller->weight_sum);

	for (uint32_t i = 0; i < caller->routes->len; i++) {
		const struct caller_route *route =
			&g_array_index(caller->routes, struct caller_route, i);

		if (drawn < route->weight)
			return route;
		drawn -= route->weight;
	}
	return NULL;
}

/* Returns the next port without a flow, 0 if there is none. */
static uint16_t take_port(struct fake_caller *caller)
{
	uint32_t count = caller->options.flows_per_s * PORT_CYCLE_S;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t port = PORT_FIRST + caller->port_count++ % count;

		if (!g_hash_table_contains(caller->flows,
					   GUINT_TO_POINTER(port)))
			return (uint16_t)port;
	}
	return 0;
}

static const struct caller_flow_kind *draw_kind(struct fake_caller *caller)
{
	const struct fake_caller_options *options = &caller->options;
	uint32_t weight_sum = 0;
	uint32_t drawn;
	uint32_t kind = 0;

	for (uint32_t i = 0; i < options->flow_kind_count; i++)
		weight_sum += options->flow_kinds[i].weight;
	drawn = (uint32_t)g_rand_int_range(caller->rand, 0, (gint32)weight_sum);
	while (drawn >= options->flow_kinds[kind].weight)
		drawn -= options->flow_kinds[kind++].weight;
	return &options->flow_kinds[kind];
}

static void open_flow(struct fake_caller *caller, int64_t now_ms)
{
	const struct caller_route *route = draw_route(caller);
	const struct caller_flow_kind *kind = draw_kind(caller);
	uint32_t index = caller->flow_count++;
	struct caller_flow_options options = {
		.caller = caller->options.listen,
		.end_ms = now_ms +
			  g_rand_int_range(caller->rand, 0,
					   (gint32)kind->mean_lifetime_ms * 2),
		.pause_min_ms = kind->pause_min_ms,
		.pause_max_ms = kind->pause_max_ms,
		.rand = caller->rand,
		.first_sequence = g_rand_int(caller->rand),
		.context = caller,
		.send = send_to_node,
		.on_event = on_flow_event,
	};

	if (!route)
		return;
	options.service = route->address;
	options.caller.port = take_port(caller);
	if (options.caller.port == 0)
		return;
	options.first_request_id =
		(caller->options.seed << 32 | index) * REQUEST_IDS_PER_FLOW;
	g_hash_table_replace(caller->flows,
			     GUINT_TO_POINTER(options.caller.port),
			     caller_flow_new(&options, now_ms));
}

static void open_due_flows(struct fake_caller *caller, int64_t now_ms)
{
	int64_t due_count = (now_ms - caller->started_ms) *
			    caller->options.flows_per_s / MS_PER_S;

	while (caller->opened_count < due_count) {
		caller->opened_count++;
		open_flow(caller, now_ms);
	}
}

static void on_tick(void *context)
{
	struct fake_caller *caller = context;
	int64_t now_ms = task_now_ms();
	GHashTableIter iter;
	gpointer flow;

	if (!caller->is_finishing && caller->weight_sum > 0)
		open_due_flows(caller, now_ms);
	g_hash_table_iter_init(&iter, caller->flows);
	while (g_hash_table_iter_next(&iter, NULL, &flow)) {
		caller_flow_tick(flow, now_ms);
		if (caller_flow_has_ended(flow))
			g_hash_table_iter_remove(&iter);
	}
}

static bool start(void *context, struct task *task, GError **error)
{
	struct fake_caller *caller = context;
	struct udp_socket_options options = {
		.listen = caller->options.listen,
		.context = caller,
		.receive = on_packet,
	};

	caller->socket = udp_socket_new(task, &options, error);
	if (!caller->socket)
		return false;
	caller->rotation = node_rotation_new(&caller->options, task);
	caller->timer = timer_new(task, caller, on_tick);
	timer_every(caller->timer, TICK_MS);
	return true;
}

static void set_routes(struct fake_caller *caller,
		       struct caller_command *command)
{
	if (caller->routes->len == 0)
		caller->started_ms = task_now_ms();
	g_array_free(caller->routes, TRUE);
	caller->routes = g_steal_pointer(&command->routes);
	caller->weight_sum = 0;
	for (uint32_t i = 0; i < caller->routes->len; i++)
		caller->weight_sum +=
			g_array_index(caller->routes, struct caller_route, i)
				.weight;
}

static void finish(struct fake_caller *caller)
{
	GHashTableIter iter;
	gpointer flow;

	caller->is_finishing = true;
	g_hash_table_iter_init(&iter, caller->flows);
	while (g_hash_table_iter_next(&iter, NULL, &flow))
		caller_flow_finish(flow);
}

static void handle(void *context, struct message *message)
{
	struct fake_caller *caller = context;
	struct caller_command *command = (struct caller_command *)message;

	switch (command->kind) {
	case CALLER_SET_ROUTES:
		set_routes(caller, command);
		break;
	case CALLER_SET_LOSS:
		caller->loss_percent[command->node] = command->loss_percent;
		break;
	case CALLER_FINISH:
		finish(caller);
		break;
	}
	message_free(message);
}

static void stop(void *context)
{
	struct fake_caller *caller = context;

	timer_free(caller->timer);
	node_rotation_free(caller->rotation);
	udp_socket_free(caller->socket);
	caller->timer = NULL;
	caller->rotation = NULL;
	caller->socket = NULL;
}

/*
 * Starts the callers without routes; they open flows once routes are set.
 * options->nodes must outlive them. The result is freed with fake_caller_free.
 * Fails with TASK_ERROR.
 */
struct fake_caller *fake_caller_new(const struct fake_caller_options *options,
				    GError **error)
{
	struct fake_caller *caller = g_new0(struct fake_caller, 1);
	struct task_options task_options = {
		.name = "caller",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = caller,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	caller->options = *options;
	caller->rand = g_rand_new_with_seed((guint32)options->seed);
	caller->routes = g_array_new(FALSE, FALSE, sizeof(struct caller_route));
	caller->flows =
		g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				      (GDestroyNotify)caller_flow_free);
	caller->loss_percent = g_new0(uint32_t, options->node_count);
	caller->task = task_new(&task_options, error);
	if (caller->task && task_start(caller->task, error))
		return caller;
	fake_caller_free(caller);
	return NULL;
}

/* Stops and frees the callers without closing their flows; NULL is allowed. */
void fake_caller_free(struct fake_caller *caller)
{
	if (!caller)
		return;
	task_free(caller->task);
	g_hash_table_destroy(caller->flows);
	g_array_free(caller->routes, TRUE);
	g_rand_free(caller->rand);
	g_free(caller->loss_percent);
	g_free(caller);
}

static struct caller_command *command_new(enum caller_command_kind kind)
{
	struct caller_command *command = g_new0(struct caller_command, 1);

	command->message.type = &command_type;
	command->kind = kind;
	return command;
}

/*
 * Replaces the routes from which new flows choose a service at random, by
 * weight.
 */
void fake_caller_set_routes(struct fake_caller *caller,
			    const struct caller_route *routes, uint32_t count)
{
	struct caller_command *command = command_new(CALLER_SET_ROUTES);

	command->routes = g_array_new(FALSE, FALSE, sizeof(*routes));
	g_array_append_vals(command->routes, routes, count);
	task_post_or_free(caller->task, &command->message);
}

/* Sets the percentage of packets to a node that the router drops. */
void fake_caller_set_loss(struct fake_caller *caller, uint32_t node,
			  uint32_t loss_percent)
{
	struct caller_command *command = command_new(CALLER_SET_LOSS);

	command->node = node;
	command->loss_percent = loss_percent;
	task_post_or_free(caller->task, &command->message);
}

/* Opens no more flows and closes each open one after its next response. */
void fake_caller_finish(struct fake_caller *caller)
{
	task_post_or_free(caller->task, &command_new(CALLER_FINISH)->message);
}
