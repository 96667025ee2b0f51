#include <fakes/fake_fabric.h>

#include "caller_packet.h"

#include <stdatomic.h>
#include <string.h>
#include <task/task.h>
#include <task/task_error.h>
#include <task/timer.h>
#include <task/udp_socket.h>

#define MAILBOX_CAPACITY 65536
#define US_PER_MS 1000
#define TARGET_UNKNOWN UINT32_MAX

/*
 * The state of a flow. target is the first target that received a packet of it.
 * is_misplaced: a packet reached a second target or a target of another
 * service.
 */
struct fabric_flow {
	uint32_t service;
	uint32_t target;
	uint32_t sent_count;
	uint32_t arrived_count;
	bool is_misplaced;
};

/* Reports to the fabric's task that a packet of a flow reached a target. */
struct arrival_message {
	struct message message;
	uint32_t flow;
	uint32_t target;
};

struct fake_fabric {
	struct fake_fabric_options options;
	struct task *task;
	struct timer *timer;
	struct udp_socket *socket;
	GRand *rand;
	/* All flows opened so far; open_flows has the indices of open ones. */
	GArray *flows;
	uint32_t *open_flows;
	atomic_uint_fast64_t *target_flow_counts;
	uint64_t arrived_count;
	atomic_uint_fast64_t sent_count;
	atomic_bool is_stopping;
};

static void arrival_free(struct message *message)
{
	g_free(message);
}

static const struct message_type arrival_type = {"arrival", arrival_free};

static uint32_t open_flow(struct fake_fabric *fabric)
{
	struct fabric_flow flow = {
		.service = fabric->flows->len % fabric->options.service_count,
		.target = TARGET_UNKNOWN,
	};

	g_array_append_val(fabric->flows, flow);
	return fabric->flows->len - 1;
}

static bool is_last(const struct fake_fabric *fabric,
		    const struct fabric_flow *flow)
{
	return fabric->options.packets_per_flow > 0 &&
	       flow->sent_count >= fabric->options.packets_per_flow;
}

/*
 * Sends a flow's next packet to a random node. Returns the flow's index, or the
 * index of a new flow if this packet was the flow's last.
 */
static uint32_t send_next(struct fake_fabric *fabric, uint32_t index)
{
	struct fabric_flow *flow =
		&g_array_index(fabric->flows, struct fabric_flow, index);
	uint32_t node = (uint32_t)g_rand_int_range(
		fabric->rand, 0, (gint32)fabric->options.node_count);
	struct caller_packet packet = {
		.flow = index,
		.service = fabric->options.services[flow->service],
		.is_first = flow->sent_count == 0,
	};
	uint8_t bytes[CALLER_PACKET_BYTES];

	flow->sent_count++;
	packet.is_last = is_last(fabric, flow);
	caller_packet_build(&packet, bytes);
	udp_socket_send(fabric->socket, &fabric->options.nodes[node], bytes,
			sizeof(bytes));
	atomic_fetch_add(&fabric->sent_count, 1);
	return packet.is_last ? open_flow(fabric) : index;
}

static void on_timer(void *context)
{
	struct fake_fabric *fabric = context;

	if (atomic_load(&fabric->is_stopping)) {
		timer_cancel(fabric->timer);
		return;
	}
	for (uint32_t i = 0; i < fabric->options.flow_count; i++)
		fabric->open_flows[i] =
			send_next(fabric, fabric->open_flows[i]);
}

static void on_arrival(struct fake_fabric *fabric,
		       const struct arrival_message *arrival)
{
	struct fabric_flow *flow;

	if (arrival->flow >= fabric->flows->len)
		return;
	flow = &g_array_index(fabric->flows, struct fabric_flow, arrival->flow);
	fabric->arrived_count++;
	flow->arrived_count++;
	if (flow->target == TARGET_UNKNOWN) {
		flow->target = arrival->target;
		atomic_fetch_add(&fabric->target_flow_counts[arrival->target],
				 1);
	}
	if (flow->target != arrival->target ||
	    fabric->options.target_services[arrival->target] != flow->service)
		flow->is_misplaced = true;
}

static void handle(void *context, struct message *message)
{
	if (message->type == &arrival_type)
		on_arrival(context, (struct arrival_message *)message);
	message_free(message);
}

static void receive(void *context, const struct endpoint *from,
		    const uint8_t *bytes, uint32_t length_bytes)
{
}

static bool start(void *context, struct task *task, GError **error)
{
	struct fake_fabric *fabric = context;
	struct udp_socket_options options = {
		.context = fabric,
		.receive = receive,
	};

	endpoint_parse(&options.listen, "127.0.0.1:1");
	options.listen.port = 0;
	fabric->socket = udp_socket_new(task, &options, error);
	if (!fabric->socket)
		return false;
	fabric->timer = timer_new(task, fabric, on_timer);
	timer_every(fabric->timer, fabric->options.packet_interval_ms);
	return true;
}

static void stop(void *context)
{
	struct fake_fabric *fabric = context;

	timer_free(fabric->timer);
	udp_socket_free(fabric->socket);
	fabric->socket = NULL;
	fabric->timer = NULL;
}

static void init_state(struct fake_fabric *fabric)
{
	fabric->rand = g_rand_new_with_seed((guint32)fabric->options.seed);
	fabric->flows = g_array_new(FALSE, FALSE, sizeof(struct fabric_flow));
	fabric->target_flow_counts =
		g_new0(atomic_uint_fast64_t, fabric->options.target_count);
	fabric->open_flows = g_new0(uint32_t, fabric->options.flow_count);
	for (uint32_t i = 0; i < fabric->options.flow_count; i++)
		fabric->open_flows[i] = open_flow(fabric);
}

/*
 * Starts the fabric. The arrays in the options must outlive it. Free it with
 * fake_fabric_free. Fails with TASK_ERROR.
 */
struct fake_fabric *fake_fabric_new(const struct fake_fabric_options *options,
				    GError **error)
{
	struct fake_fabric *fabric = g_new0(struct fake_fabric, 1);
	struct task_options task_options = {
		.name = "fabric",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = fabric,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	fabric->options = *options;
	init_state(fabric);
	fabric->task = task_new(&task_options, error);
	if (fabric->task && task_start(fabric->task, error))
		return fabric;
	fake_fabric_free(fabric);
	return NULL;
}

/* Stops and frees the fabric; NULL is allowed. */
void fake_fabric_free(struct fake_fabric *fabric)
{
	if (!fabric)
		return;
	task_free(fabric->task);
	g_array_free(fabric->flows, TRUE);
	g_rand_free(fabric->rand);
	g_free(fabric->target_flow_counts);
	g_free(fabric->open_flows);
	g_free(fabric);
}

/* Reports that a packet reached a target. It may be called from any thread. */
void fake_fabric_report_packet(struct fake_fabric *fabric, uint32_t target,
			       const uint8_t *bytes, uint32_t length_bytes)
{
	struct arrival_message *arrival;
	uint32_t flow;

	if (!caller_packet_read_flow(bytes, length_bytes, &flow))
		return;
	arrival = g_new0(struct arrival_message, 1);
	arrival->message.type = &arrival_type;
	arrival->flow = flow;
	arrival->target = target;
	if (task_post(fabric->task, &arrival->message) != POST_ACCEPTED)
		message_free(&arrival->message);
}

/*
 * Returns the number of packets sent so far. It may be called from any thread.
 */
uint64_t fake_fabric_sent_count(const struct fake_fabric *fabric)
{
	return atomic_load(&((struct fake_fabric *)fabric)->sent_count);
}

static bool is_flow_broken(const struct fabric_flow *flow)
{
	return flow->is_misplaced || flow->arrived_count < flow->sent_count;
}

/*
 * Stops sending, waits grace_ms for packets in transit, stops the task, and
 * writes the counts to result. A flow is broken if one of its packets reached a
 * second target or a target of another service, or was lost.
 */
void fake_fabric_finish(struct fake_fabric *fabric, uint32_t grace_ms,
			struct fake_fabric_result *result)
{
	atomic_store(&fabric->is_stopping, true);
	g_usleep((gulong)grace_ms * US_PER_MS);
	task_stop(fabric->task);
	memset(result, 0, sizeof(*result));
	result->sent_count = fake_fabric_sent_count(fabric);
	result->arrived_count = fabric->arrived_count;
	for (guint i = 0; i < fabric->flows->len; i++) {
		const struct fabric_flow *flow =
			&g_array_index(fabric->flows, struct fabric_flow, i);

		if (flow->sent_count == 0)
			continue;
		result->flow_count++;
		if (is_flow_broken(flow))
			result->broken_count++;
	}
}

/*
 * Returns the number of flows whose first packet to arrive reached the given
 * target. It may be called from any thread.
 */
uint64_t fake_fabric_target_flow_count(const struct fake_fabric *fabric,
				       uint32_t target)
{
	return atomic_load(&fabric->target_flow_counts[target]);
}
