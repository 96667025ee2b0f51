#include <fakes/fake_host.h>

#include "host_entry.h"
#include "host_flow.h"
#include "sample_http.h"

#include <stdatomic.h>
#include <string.h>
#include <task/task.h>
#include <task/timer.h>
#include <task/udp_socket.h>

#define MAILBOX_CAPACITY 64
/* Resolution of the delay before responses. */
#define TICK_MS 5

struct fake_host {
	struct fake_host_options options;
	struct task *task;
	struct udp_socket *socket;
	struct timer *timer;
	GHashTable *flows;
	/* Flows whose response is pending, ordered by response_due_ms. */
	GQueue pending;
	GRand *rand;
	bool is_draining;
};

/* Makes the host rewrite its store entry, as draining if is_draining is set. */
struct host_update {
	struct message message;
	bool is_draining;
};

static void update_free(struct message *message)
{
	g_free(message);
}

static const struct message_type update_type = {"host_order", update_free};

static gpointer flow_key_of(const struct endpoint *caller)
{
	uint64_t key = caller->port;

	for (uint32_t i = 0; i < 4; i++)
		key = key << 8 | caller->addr.bytes[i];
	return (gpointer)(uintptr_t)key;
}

static void report(const struct fake_host *host, enum flow_event_kind kind,
		   const struct flow_packet *packet,
		   const struct endpoint *node, uint64_t request_id)
{
	struct flow_event event = {
		.kind = kind,
		.at_ms = task_now_ms(),
		.caller = packet->source,
		.service = packet->destination,
		.node = *node,
		.host = host->options.index,
		.sequence = packet->sequence,
		.request_id = request_id,
	};

	host->options.observer.on_event(host->options.observer.context, &event);
}

static void transmit(struct fake_host *host, const struct flow_packet *packet)
{
	uint8_t bytes[FLOW_PACKET_BYTES_MAX];
	uint32_t length_bytes = flow_packet_write(bytes, packet);
	struct endpoint to = packet->destination;

	to.port = host->options.caller_port;
	udp_socket_send(host->socket, &to, bytes, length_bytes);
}

static void send_reset(struct fake_host *host, const struct flow_packet *to)
{
	struct flow_packet reset = {
		.flags = FLOW_PACKET_RST,
		.source = to->destination,
		.destination = to->source,
		.sequence = to->acknowledged,
		.tag = to->tag,
	};

	transmit(host, &reset);
}

static struct flow_packet packet_of(const struct host_flow *flow, uint8_t flags)
{
	return (struct flow_packet){
		.flags = flags,
		.source = flow->service,
		.destination = flow->caller,
		.tag = flow->tag,
		.sequence = flow->next_sequence,
		.acknowledged = flow->expected_sequence,
	};
}

static void send_opening_reply(struct fake_host *host, struct host_flow *flow)
{
	struct flow_packet packet =
		packet_of(flow, FLOW_PACKET_SYN | FLOW_PACKET_ACK);

	packet.sequence = flow->first_sequence;
	transmit(host, &packet);
}

static void handle_opening(struct fake_host *host, struct host_flow *flow,
			   const struct flow_packet *packet,
			   const struct endpoint *node)
{
	if (flow && flow->opening_sequence == packet->sequence) {
		flow->tag = packet->tag;
		send_opening_reply(host, flow);
		return;
	}
	flow = g_new0(struct host_flow, 1);
	flow->caller = packet->source;
	flow->service = packet->destination;
	flow->tag = packet->tag;
	flow->first_sequence = g_rand_int(host->rand);
	flow->next_sequence = flow->first_sequence + 1;
	flow->opening_sequence = packet->sequence;
	flow->expected_sequence = packet->sequence + 1;
	g_hash_table_replace(host->flows, flow_key_of(&flow->caller), flow);
	report(host, FLOW_EVENT_OPENING_ACCEPTED, packet, node, 0);
	send_opening_reply(host, flow);
}

/* Sends the complete response; the last packet has FIN set while draining. */
static void send_response(struct fake_host *host, struct host_flow *flow)
{
	char *text = sample_http_response(flow->request_id, flow->service.port);
	uint32_t length_bytes = (uint32_t)strlen(text);
	uint32_t sent_bytes = 0;

	while (sent_bytes < length_bytes) {
		struct flow_packet packet = packet_of(flow, FLOW_PACKET_ACK);

		packet.sequence = flow->response_sequence + sent_bytes;
		packet.data = (const uint8_t *)text + sent_bytes;
		packet.data_bytes =
			(uint16_t)MIN(length_bytes - sent_bytes,
				      (uint32_t)FLOW_PACKET_DATA_BYTES_MAX);
		sent_bytes += packet.data_bytes;
		if (host->is_draining && sent_bytes == length_bytes)
			packet.flags |= FLOW_PACKET_FIN;
		transmit(host, &packet);
	}
	flow->next_sequence = flow->response_sequence + length_bytes;
	flow->is_response_sent = true;
	g_free(text);
}

static void run_request(struct fake_host *host, struct host_flow *flow,
			const struct flow_packet *packet,
			const struct endpoint *node)
{
	if (!sample_http_read_id(&flow->request_id, packet->data,
				 packet->data_bytes))
		return;
	flow->expected_sequence = packet->sequence + packet->data_bytes;
	flow->response_sequence = flow->next_sequence;
	flow->has_request = true;
	flow->is_response_sent = false;
	flow->response_due_ms = task_now_ms() + host->options.response_delay_ms;
	g_queue_push_tail(&host->pending, flow);
	report(host, FLOW_EVENT_REQUEST_EXECUTED, packet, node,
	       flow->request_id);
}

static void handle_data(struct fake_host *host, struct host_flow *flow,
			const struct flow_packet *packet,
			const struct endpoint *node)
{
	if (packet->sequence == flow->expected_sequence) {
		run_request(host, flow, packet, node);
		return;
	}
	if (host->options.is_executing_duplicates)
		report(host, FLOW_EVENT_REQUEST_EXECUTED, packet, node,
		       flow->request_id);
	if (flow->has_request && flow->is_response_sent)
		send_response(host, flow);
}

static void handle_fin(struct fake_host *host, struct host_flow *flow)
{
	struct flow_packet packet =
		packet_of(flow, FLOW_PACKET_ACK | FLOW_PACKET_FIN);

	flow->is_closed = true;
	transmit(host, &packet);
}

/*
 * Returns whether the flow is open. A packet that acknowledges first_sequence
 * opens it; any other packet removes an unopened flow.
 */
static bool accept_for_flow(struct fake_host *host, struct host_flow *flow,
			    const struct flow_packet *packet,
			    const struct endpoint *node)
{
	if (!flow || !host_flow_has_packet(flow, packet))
		return false;
	if (flow->is_open)
		return true;
	if (packet->acknowledged != flow->first_sequence + 1) {
		g_hash_table_remove(host->flows, flow_key_of(&packet->source));
		return false;
	}
	flow->is_open = true;
	report(host, FLOW_EVENT_OPENED, packet, node, 0);
	return true;
}

static void receive(struct fake_host *host, const struct flow_packet *packet,
		    const struct endpoint *node)
{
	struct host_flow *flow =
		g_hash_table_lookup(host->flows, flow_key_of(&packet->source));

	if (packet->flags & FLOW_PACKET_RST)
		return;
	if ((packet->flags & (FLOW_PACKET_SYN | FLOW_PACKET_ACK)) ==
	    FLOW_PACKET_SYN) {
		handle_opening(host, flow, packet, node);
		return;
	}
	if (!accept_for_flow(host, flow, packet, node) ||
	    (flow->is_closed && packet->data_bytes > 0)) {
		report(host, FLOW_EVENT_UNKNOWN_FLOW, packet, node, 0);
		send_reset(host, packet);
		return;
	}
	flow->tag = packet->tag;
	if (packet->flags & FLOW_PACKET_FIN)
		handle_fin(host, flow);
	else if (packet->data_bytes > 0)
		handle_data(host, flow, packet, node);
}

static void on_packet(void *context, const struct endpoint *from,
		      const uint8_t *bytes, uint32_t length_bytes)
{
	struct fake_host *host = context;
	struct flow_packet packet = {.flags = 0};
	uint64_t host_id;

	if (length_bytes < FLOW_PACKET_HOST_ID_BYTES)
		return;
	host_id = flow_packet_read_host_id(bytes);
	if (host_id != 0 && host_id != host->options.host_id)
		return;
	if (flow_packet_read(&packet, bytes + FLOW_PACKET_HOST_ID_BYTES,
			     length_bytes - FLOW_PACKET_HOST_ID_BYTES) ==
	    FLOW_PACKET_VALID)
		receive(host, &packet, from);
	else
		report(host, FLOW_EVENT_HOST_RECEIVED_CORRUPT_PACKET, &packet,
		       from, 0);
}

static void on_tick(void *context)
{
	struct fake_host *host = context;
	struct host_flow *flow = g_queue_peek_head(&host->pending);

	while (flow && flow->response_due_ms <= task_now_ms()) {
		g_queue_pop_head(&host->pending);
		send_response(host, flow);
		flow->is_closed = flow->is_closed || host->is_draining;
		flow = g_queue_peek_head(&host->pending);
	}
}

/* Writes the host's store entry in the format of the platform's hosts. */
static void write_entry(const struct fake_host *host)
{
	const struct fake_host_options *options = &host->options;
	char *key = fake_host_entry_key(options->host_id);
	char *text = host_entry_format(options, host->is_draining);

	fake_kv_put(options->store, key, text);
	g_free(text);
	g_free(key);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct fake_host *host = context;
	struct udp_socket_options options = {
		.listen = host->options.listen,
		.context = host,
		.receive = on_packet,
	};

	host->socket = udp_socket_new(task, &options, error);
	if (!host->socket)
		return false;
	host->timer = timer_new(task, host, on_tick);
	timer_every(host->timer, TICK_MS);
	write_entry(host);
	return true;
}

static void handle(void *context, struct message *message)
{
	struct fake_host *host = context;
	const struct host_update *update = (const struct host_update *)message;

	host->is_draining = host->is_draining || update->is_draining;
	write_entry(host);
	message_free(message);
}

static void stop(void *context)
{
	struct fake_host *host = context;

	timer_free(host->timer);
	udp_socket_free(host->socket);
	host->timer = NULL;
	host->socket = NULL;
}

/*
 * Starts a host, which writes its entry to the store. Free it with
 * fake_host_free. Fails with TASK_ERROR.
 */
struct fake_host *fake_host_new(const struct fake_host_options *options,
				GError **error)
{
	struct fake_host *host = g_new0(struct fake_host, 1);
	struct task_options task_options = {
		.name = "host",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = host,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	host->options = *options;
	host->options.service = g_strdup(options->service);
	host->options.zone = g_strdup(options->zone);
	host->flows = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	host->rand = g_rand_new_with_seed((guint32)options->host_id);
	host->task = task_new(&task_options, error);
	if (host->task && task_start(host->task, error))
		return host;
	fake_host_free(host);
	return NULL;
}

/* Stops the host without closing its flows, as in a crash; NULL is allowed. */
void fake_host_free(struct fake_host *host)
{
	if (!host)
		return;
	task_free(host->task);
	g_queue_clear(&host->pending);
	g_hash_table_destroy(host->flows);
	g_rand_free(host->rand);
	g_free((char *)host->options.service);
	g_free((char *)host->options.zone);
	g_free(host);
}

static void post_update(struct fake_host *host, bool is_draining)
{
	struct host_update *update = g_new0(struct host_update, 1);

	update->message.type = &update_type;
	update->is_draining = is_draining;
	task_post_or_free(host->task, &update->message);
}

/* Writes the host's store entry again, for instance after it expired. */
void fake_host_register(struct fake_host *host)
{
	post_update(host, false);
}

/* Sets draining in the store entry; a flow's next response then closes it. */
void fake_host_drain(struct fake_host *host)
{
	post_update(host, true);
}
