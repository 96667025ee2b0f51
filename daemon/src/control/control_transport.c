#include "control_transport.h"

#include "control_counters.h"
#include "control_keys.h"
#include "control_pacer.h"
#include "control_stream.h"

#include <inttypes.h>
#include <task/timer.h>
#include <task/udp_socket.h>
#include <wire/procedure.h>
#include <wire/replay_guard.h>
#include <wire/rpc_codec.h>
#include <wire/wire_error.h>

#define RECEIVE_BUFFER_BYTES (1024 * 1024)
#define SENDER_COUNT_MAX 2048
#define IPV4_UDP_HEADER_BYTES 28

struct control_transport {
	struct control_transport_options options;
	struct udp_socket *udp;
	struct control_stream *stream;
	struct control_pacer *pacer;
	struct replay_guard *guard;
	struct control_keys *keys;
	struct timer *send_timer;
	uint32_t next_xid;
	uint32_t sequence;
};

static uint32_t wall_clock_s(void)
{
	return (uint32_t)(g_get_real_time() / G_USEC_PER_SEC);
}

static void count(struct control_transport *transport, uint32_t counter)
{
	counter_set_add(transport->options.counters, counter, 1);
}

static void count_received(struct control_transport *transport,
			   const struct rpc_message *message)
{
	struct counter_set *counters = transport->options.counters;
	enum control_family family;

	if (!control_family_of(message->procedure, &family))
		return;
	counter_set_add(counters, CONTROL_MESSAGES_RECEIVED + family, 1);
	counter_set_add(counters, CONTROL_BYTES_RECEIVED + family,
			message->length_bytes + RPC_HEADER_BYTES +
				IPV4_UDP_HEADER_BYTES);
}

static const struct {
	int code;
	uint32_t counter;
} error_counters[] = {
	{WIRE_ERROR_AUTHENTICATION, CONTROL_NOT_AUTHENTIC},
	{WIRE_ERROR_VERSION, CONTROL_OTHER_VERSION},
};

static void count_error(struct control_transport *transport,
			const GError *error)
{
	uint32_t counter = CONTROL_MALFORMED;

	for (uint32_t i = 0; i < G_N_ELEMENTS(error_counters); i++) {
		if (error->code == error_counters[i].code)
			counter = error_counters[i].counter;
	}
	count(transport, counter);
}

static bool is_fresh(struct control_transport *transport,
		     const struct rpc_message *message)
{
	enum replay_verdict verdict =
		replay_guard_check(transport->guard, message, wall_clock_s());

	if (verdict == REPLAY_FRESH)
		return true;
	count(transport, verdict == REPLAY_CLOCK_SKEW ? CONTROL_CLOCK_SKEW
						      : CONTROL_REPLAYED);
	log_write(transport->options.log, LOG_LEVEL_WARNING, "control_dropped",
		  "reason=%s node=%016" PRIx64, replay_verdict_name(verdict),
		  message->sender_id);
	return false;
}

/* A reply reports that a peer refused a call; it gets no reply itself. */
static void on_reply(struct control_transport *transport,
		     const struct rpc_message *reply)
{
	count(transport, CONTROL_REFUSED_BY_PEER);
	log_write(transport->options.log, LOG_LEVEL_NOTICE, "control_refused",
		  "node=%016" PRIx64 " status=%d", reply->sender_id,
		  (int)reply->status);
}

static void receive_bytes(struct control_transport *transport,
			  const struct endpoint *from, const uint8_t *bytes,
			  uint32_t length_bytes)
{
	struct rpc_message message;
	GError *error = NULL;

	if (!transport->keys) {
		count(transport, CONTROL_NO_KEY);
		return;
	}
	if (!rpc_codec_decode(&message, bytes, length_bytes,
			      control_keys_ring(transport->keys), &error)) {
		count_error(transport, error);
		if (error->code == WIRE_ERROR_VERSION &&
		    is_fresh(transport, &message))
			control_transport_refuse(transport, from, &message,
						 RPC_STATUS_PROGRAM_MISMATCH);
		g_error_free(error);
		return;
	}
	if (!is_fresh(transport, &message))
		return;
	if (message.kind == RPC_KIND_REPLY) {
		on_reply(transport, &message);
		return;
	}
	count_received(transport, &message);
	transport->options.receive(transport->options.context, from, &message);
}

static void on_datagram(void *context, const struct endpoint *from,
			const uint8_t *bytes, uint32_t length_bytes)
{
	receive_bytes(context, from, bytes, length_bytes);
}

/*
 * Passes an endpoint with port 0 as the sender: the source port of a TCP
 * connection is not the port where the sending node listens.
 */
static void on_record(void *context, const uint8_t *bytes,
		      uint32_t length_bytes)
{
	struct endpoint unknown_address = {.port = 0};

	receive_bytes(context, &unknown_address, bytes, length_bytes);
}

static bool transmit(struct control_transport *transport,
		     const struct endpoint *to, const GByteArray *bytes)
{
	if (bytes->len <= RPC_DATAGRAM_BYTES_MAX)
		return udp_socket_send(transport->udp, to, bytes->data,
				       bytes->len);
	return control_stream_send(transport->stream, to, bytes->data,
				   bytes->len);
}

static void send_outgoing(struct control_transport *transport,
			  enum control_family family,
			  struct outgoing_message *outgoing)
{
	struct counter_set *counters = transport->options.counters;
	GByteArray *bytes;

	outgoing->message.sequence = ++transport->sequence;
	outgoing->message.sent_s = wall_clock_s();
	bytes = rpc_codec_encode(&outgoing->message,
				 control_keys_ring(transport->keys), NULL);
	if (bytes && transmit(transport, &outgoing->to, bytes)) {
		counter_set_add(counters, CONTROL_MESSAGES_SENT + family, 1);
		counter_set_add(counters, CONTROL_BYTES_SENT + family,
				outgoing_message_wire_bytes(outgoing));
	} else {
		count(transport, CONTROL_NOT_SENT);
	}
	if (bytes)
		g_byte_array_unref(bytes);
	outgoing_message_free(outgoing);
}

/* Sends what the byte budget allows and sets a timer to send the rest. */
void control_transport_flush(struct control_transport *transport)
{
	int64_t now_ms = task_now_ms();
	struct outgoing_message *outgoing;
	enum control_family family;
	uint32_t wait_ms;

	while ((outgoing = control_pacer_take(transport->pacer, &family,
					      now_ms)) != NULL)
		send_outgoing(transport, family, outgoing);
	wait_ms = control_pacer_wait_ms(transport->pacer, now_ms);
	if (wait_ms != CONTROL_PACER_IDLE)
		timer_once(transport->send_timer, wait_ms);
}

static void on_send_timer(void *context)
{
	control_transport_flush(context);
}

static void enqueue(struct control_transport *transport,
		    enum control_family family, const struct endpoint *to,
		    struct rpc_message *message)
{
	struct outgoing_message *outgoing;

	if (!transport->keys) {
		count(transport, CONTROL_NO_KEY);
		return;
	}
	message->version = SHALLOT_PROGRAM_VERSION;
	message->sender_id = transport->options.node_id;
	outgoing = outgoing_message_new(to, message);
	if (!control_pacer_add(transport->pacer, family, outgoing)) {
		count(transport, CONTROL_QUEUE_FULL + family);
		outgoing_message_free(outgoing);
		return;
	}
	control_transport_flush(transport);
}

/*
 * Queues a call, which is sent when the byte budget allows, over TCP if it is
 * too large for a datagram. If the family's queue is full, the call is dropped
 * and counted.
 */
void control_transport_call(struct control_transport *transport,
			    const struct endpoint *to, uint32_t procedure,
			    const uint8_t *body, uint32_t length_bytes)
{
	struct rpc_message message = {.kind = RPC_KIND_CALL,
				      .xid = ++transport->next_xid,
				      .procedure = procedure,
				      .body = body,
				      .length_bytes = length_bytes};
	enum control_family family;

	if (control_family_of(procedure, &family))
		enqueue(transport, family, to, &message);
	else
		count(transport, CONTROL_NOT_SENT);
}

/*
 * Refuses a call with an error reply, which is queued with the lowest
 * priority. Calls over TCP get no reply, as the endpoint where their sender
 * listens is unknown here.
 */
void control_transport_refuse(struct control_transport *transport,
			      const struct endpoint *to,
			      const struct rpc_message *call,
			      enum rpc_status status)
{
	struct rpc_message reply = {
		.kind = RPC_KIND_REPLY, .xid = call->xid, .status = status};

	if (to->port != 0 && call->kind == RPC_KIND_CALL)
		enqueue(transport, CONTROL_FAMILY_FLOWS, to, &reply);
}

static bool open_keys(struct control_transport *transport, struct task *task,
		      GError **error)
{
	struct control_keys_options options = {
		.path = transport->options.key_file,
		.counters = transport->options.counters,
		.log = transport->options.log,
	};

	if (!options.path)
		return true;
	transport->keys = control_keys_new(task, &options, error);
	return transport->keys != NULL;
}

static bool open_sockets(struct control_transport *transport, struct task *task,
			 GError **error)
{
	struct udp_socket_options udp_options = {
		.listen = transport->options.listen,
		.buffer_bytes = RECEIVE_BUFFER_BYTES,
		.context = transport,
		.receive = on_datagram,
	};
	struct control_stream_options stream_options = {
		.listen = transport->options.listen,
		.context = transport,
		.receive = on_record,
	};

	transport->udp = udp_socket_new(task, &udp_options, error);
	if (!transport->udp)
		return false;
	if (!transport->options.key_file)
		return true;
	transport->stream = control_stream_new(task, &stream_options, error);
	return transport->stream != NULL;
}

/*
 * Opens the control sockets. Must be called in the task's thread, as must
 * control_transport_free. Fails with TASK_ERROR for the UDP socket, or with
 * DAEMON_ERROR for the key file or the TCP listener.
 */
struct control_transport *
control_transport_new(struct task *task,
		      const struct control_transport_options *options,
		      GError **error)
{
	struct control_transport *transport =
		g_new0(struct control_transport, 1);

	transport->options = *options;
	transport->pacer =
		control_pacer_new(options->bytes_per_s, task_now_ms());
	transport->guard = replay_guard_new(SENDER_COUNT_MAX);
	transport->send_timer = timer_new(task, transport, on_send_timer);
	if (open_keys(transport, task, error) &&
	    open_sockets(transport, task, error))
		return transport;
	control_transport_free(transport);
	return NULL;
}

/* Closes the sockets and frees the transport; NULL is allowed. */
void control_transport_free(struct control_transport *transport)
{
	if (!transport)
		return;
	timer_free(transport->send_timer);
	udp_socket_free(transport->udp);
	control_stream_free(transport->stream);
	control_pacer_free(transport->pacer);
	replay_guard_free(transport->guard);
	control_keys_free(transport->keys);
	g_free(transport);
}
