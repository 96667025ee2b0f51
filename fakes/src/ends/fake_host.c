#include <fakes/fake_host.h>

#include "end_answer.h"
#include "host_entry.h"
#include "host_flow.h"

#include <stdatomic.h>
#include <string.h>
#include <task/task.h>
#include <task/timer.h>
#include <task/udp_socket.h>

#define MAILBOX_CAPACITY 64
/* How exactly answers keep their time. */
#define TICK_MS 5

struct fake_host {
	struct fake_host_options options;
	struct task *task;
	struct udp_socket *socket;
	struct timer *timer;
	GHashTable *flows;
	/* Flows whose answer is due, the next one first. */
	GQueue waiting;
	GRand *rand;
	bool is_draining;
};

/* What the host is told to do. */
struct host_order {
	struct message message;
	bool is_drain;
};

static void order_free(struct message *message)
{
	g_free(message);
}

static const struct message_type order_type = {"host_order", order_free};

static gpointer key_of(const struct endpoint *caller)
{
	uint64_t key = caller->port;

	for (uint32_t i = 0; i < 4; i++)
		key = key << 8 | caller->addr.bytes[i];
	return (gpointer)(uintptr_t)key;
}

static void report(const struct fake_host *host, enum end_event_kind kind,
		   const struct end_packet *packet, const struct endpoint *node,
		   uint64_t request_id)
{
	struct end_event event = {
		.kind = kind,
		.at_ms = task_now_ms(),
		.caller = packet->source,
		.service = packet->destination,
		.node = *node,
		.host = host->options.index,
		.request_id = request_id,
	};

	host->options.observer.seen(host->options.observer.context, &event);
}

static void send_packet(struct fake_host *host, const struct end_packet *packet)
{
	uint8_t bytes[END_PACKET_BYTES_MAX];
	uint32_t length_bytes = end_packet_write(bytes, packet);
	struct endpoint to = packet->destination;

	to.port = host->options.caller_port;
	udp_socket_send(host->socket, &to, bytes, length_bytes);
}

static void send_reset(struct fake_host *host, const struct end_packet *to)
{
	struct end_packet reset = {
		.flags = END_FLAG_RST,
		.source = to->destination,
		.destination = to->source,
		.sequence = to->acknowledged,
		.tag = to->tag,
	};

	send_packet(host, &reset);
}

static struct end_packet packet_of(const struct host_flow *flow, uint8_t flags)
{
	return (struct end_packet){
		.flags = flags,
		.source = flow->service,
		.destination = flow->caller,
		.tag = flow->tag,
		.sequence = flow->next_sequence,
		.acknowledged = flow->expected_sequence,
	};
}

static void send_opening_answer(struct fake_host *host, struct host_flow *flow)
{
	struct end_packet packet = packet_of(flow, END_FLAG_SYN | END_FLAG_ACK);

	packet.sequence = flow->first_sequence;
	send_packet(host, &packet);
}

static void take_opening(struct fake_host *host, struct host_flow *flow,
			 const struct end_packet *packet,
			 const struct endpoint *node)
{
	if (flow) {
		flow->tag = packet->tag;
		send_opening_answer(host, flow);
		return;
	}
	flow = g_new0(struct host_flow, 1);
	flow->caller = packet->source;
	flow->service = packet->destination;
	flow->tag = packet->tag;
	flow->first_sequence = g_rand_int(host->rand);
	flow->next_sequence = flow->first_sequence + 1;
	flow->expected_sequence = packet->sequence + 1;
	g_hash_table_insert(host->flows, key_of(&flow->caller), flow);
	report(host, END_EVENT_OPENING_TAKEN, packet, node, 0);
	send_opening_answer(host, flow);
}

/* Sends the answer to the request at hand, from its first byte. */
static void send_answer(struct fake_host *host, struct host_flow *flow)
{
	char *text = end_answer_text(flow->request_id, flow->service.port);
	uint32_t length_bytes = (uint32_t)strlen(text);
	uint32_t sent_bytes = 0;

	while (sent_bytes < length_bytes) {
		struct end_packet packet = packet_of(flow, END_FLAG_ACK);

		packet.sequence = flow->answer_sequence + sent_bytes;
		packet.data = (const uint8_t *)text + sent_bytes;
		packet.data_bytes =
			(uint16_t)MIN(length_bytes - sent_bytes,
				      (uint32_t)END_PACKET_DATA_BYTES_MAX);
		sent_bytes += packet.data_bytes;
		if (host->is_draining && sent_bytes == length_bytes)
			packet.flags |= END_FLAG_FIN;
		send_packet(host, &packet);
	}
	flow->next_sequence = flow->answer_sequence + length_bytes;
	flow->is_answered = true;
	g_free(text);
}

static void run_request(struct fake_host *host, struct host_flow *flow,
			const struct end_packet *packet,
			const struct endpoint *node)
{
	if (!end_request_read(&flow->request_id, packet->data,
			      packet->data_bytes))
		return;
	flow->expected_sequence = packet->sequence + packet->data_bytes;
	flow->answer_sequence = flow->next_sequence;
	flow->has_request = true;
	flow->is_answered = false;
	flow->due_ms = task_now_ms() + host->options.answer_ms;
	g_queue_push_tail(&host->waiting, flow);
	report(host, END_EVENT_REQUEST_RUN, packet, node, flow->request_id);
}

static void take_data(struct fake_host *host, struct host_flow *flow,
		      const struct end_packet *packet,
		      const struct endpoint *node)
{
	if (packet->sequence == flow->expected_sequence) {
		run_request(host, flow, packet, node);
		return;
	}
	if (host->options.is_running_repeats)
		report(host, END_EVENT_REQUEST_RUN, packet, node,
		       flow->request_id);
	if (flow->has_request && flow->is_answered)
		send_answer(host, flow);
}

static void take_end(struct fake_host *host, struct host_flow *flow)
{
	struct end_packet packet = packet_of(flow, END_FLAG_ACK | END_FLAG_FIN);

	flow->is_ended = true;
	send_packet(host, &packet);
}

/* A flow opens where the host's own first number is acknowledged. */
static bool is_of_flow(struct fake_host *host, struct host_flow *flow,
		       const struct end_packet *packet,
		       const struct endpoint *node)
{
	if (!flow)
		return false;
	if (flow->is_open)
		return true;
	if (packet->acknowledged != flow->first_sequence + 1) {
		g_hash_table_remove(host->flows, key_of(&packet->source));
		return false;
	}
	flow->is_open = true;
	report(host, END_EVENT_FLOW_OPENED, packet, node, 0);
	return true;
}

static void take(struct fake_host *host, const struct end_packet *packet,
		 const struct endpoint *node)
{
	struct host_flow *flow =
		g_hash_table_lookup(host->flows, key_of(&packet->source));

	if (packet->flags & END_FLAG_RST)
		return;
	if ((packet->flags & (END_FLAG_SYN | END_FLAG_ACK)) == END_FLAG_SYN) {
		take_opening(host, flow, packet, node);
		return;
	}
	if (!is_of_flow(host, flow, packet, node) ||
	    (flow->is_ended && packet->data_bytes > 0)) {
		report(host, END_EVENT_UNKNOWN_FLOW, packet, node, 0);
		send_reset(host, packet);
		return;
	}
	flow->tag = packet->tag;
	if (packet->flags & END_FLAG_FIN)
		take_end(host, flow);
	else if (packet->data_bytes > 0)
		take_data(host, flow, packet, node);
}

static void on_packet(void *context, const struct endpoint *from,
		      const uint8_t *bytes, uint32_t length_bytes)
{
	struct fake_host *host = context;
	struct end_packet packet = {.flags = 0};
	uint64_t host_id;

	if (length_bytes < END_PACKET_HOST_ID_BYTES)
		return;
	host_id = end_packet_read_host_id(bytes);
	if (host_id != 0 && host_id != host->options.host_id)
		return;
	switch (end_packet_read(&packet, bytes + END_PACKET_HOST_ID_BYTES,
				length_bytes - END_PACKET_HOST_ID_BYTES)) {
	case END_PACKET_WHOLE:
		take(host, &packet, from);
		return;
	case END_PACKET_FOREIGN_RESET:
	case END_PACKET_MALFORMED:
	case END_PACKET_CHANGED:
		report(host, END_EVENT_HOST_GOT_CHANGED, &packet, from, 0);
		return;
	}
}

static void on_tick(void *context)
{
	struct fake_host *host = context;
	struct host_flow *flow = g_queue_peek_head(&host->waiting);

	while (flow && flow->due_ms <= task_now_ms()) {
		g_queue_pop_head(&host->waiting);
		send_answer(host, flow);
		flow->is_ended = flow->is_ended || host->is_draining;
		flow = g_queue_peek_head(&host->waiting);
	}
}

/* Writes the host's entry as the platform's hosts do. */
static void enter(const struct fake_host *host)
{
	const struct fake_host_options *options = &host->options;
	char *key = fake_host_entry_key(options->host_id);
	char *text = host_entry_text(options, host->is_draining);

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
	enter(host);
	return true;
}

static void handle(void *context, struct message *message)
{
	struct fake_host *host = context;
	const struct host_order *order = (const struct host_order *)message;

	host->is_draining = host->is_draining || order->is_drain;
	enter(host);
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
 * Starts a host, which enters itself in the store. The caller frees it with
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

/* Stops the host at once; NULL is allowed. */
void fake_host_free(struct fake_host *host)
{
	if (!host)
		return;
	task_free(host->task);
	g_queue_clear(&host->waiting);
	g_hash_table_destroy(host->flows);
	g_rand_free(host->rand);
	g_free((char *)host->options.service);
	g_free((char *)host->options.zone);
	g_free(host);
}

static void order(struct fake_host *host, bool is_drain)
{
	struct host_order *message = g_new0(struct host_order, 1);

	message->message.type = &order_type;
	message->is_drain = is_drain;
	task_post_or_free(host->task, &message->message);
}

/* Has the host write its entry again, as after the entry lapsed. */
void fake_host_enter(struct fake_host *host)
{
	order(host, false);
}

/* Has the host say that it leaves; it closes each flow with its answer. */
void fake_host_drain(struct fake_host *host)
{
	order(host, true);
}
