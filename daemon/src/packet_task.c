#include <daemon/packet_task.h>

#include <core/placement.h>
#include <core/target_rank.h>
#include <daemon/drain_message.h>
#include <daemon/log_settings_message.h>
#include <daemon/metrics_message.h>
#include <daemon/rules_message.h>
#include <inttypes.h>
#include <task/counter_set.h>
#include <task/udp_socket.h>
#include <unistd.h>
#include <wire/packet.h>

#define MAILBOX_CAPACITY 1024
#define RECEIVE_BUFFER_BYTES (4 * 1024 * 1024)

enum packet_counter {
	PACKETS_RECEIVED,
	PACKETS_MALFORMED,
	PACKETS_NO_SERVICE,
	PACKETS_NO_TARGET,
	PACKETS_FORWARDED,
	PACKETS_NOT_SENT,
	PACKET_COUNTER_COUNT,
};

static const struct counter_row counter_rows[PACKET_COUNTER_COUNT] = {
	[PACKETS_RECEIVED] = {"shallot_packets_received_total",
			      "Packets from the fabric.", COUNTER_TOTAL},
	[PACKETS_MALFORMED] = {"shallot_packets_dropped_total{reason="
			       "\"malformed\"}",
			       "Packets dropped, by reason.", COUNTER_TOTAL},
	[PACKETS_NO_SERVICE] = {"shallot_packets_dropped_total{reason="
				"\"no_service\"}",
				"Packets dropped, by reason.", COUNTER_TOTAL},
	[PACKETS_NO_TARGET] = {"shallot_packets_dropped_total{reason="
			       "\"no_target\"}",
			       "Packets dropped, by reason.", COUNTER_TOTAL},
	[PACKETS_FORWARDED] = {"shallot_packets_forwarded_total",
			       "Packets sent to targets.", COUNTER_TOTAL},
	[PACKETS_NOT_SENT] = {"shallot_packets_not_sent_total",
			      "Packets the kernel did not take.",
			      COUNTER_TOTAL},
};

struct packet_task {
	struct task *task;
	const struct settings *settings;
	struct udp_socket *socket;
	struct rule_set *rules;
	struct counter_set *counters;
	struct log *log;
};

static struct placement place(struct packet_task *packets,
			      const struct packet_event *event)
{
	struct placement placement = {.kind = PLACE_DROP};
	struct flow_print print =
		flow_key_print(&event->key, packets->settings->flow_seed);
	const struct rule *rule =
		rule_set_by_address(packets->rules, &event->key.service);
	const struct target *target;

	if (!rule) {
		placement.reason = REASON_NO_SERVICE;
		return placement;
	}
	placement.service_id = rule->service.service_id;
	target = target_rank_first(rule->targets, rule->target_count, print);
	if (!target) {
		placement.reason = REASON_NO_TARGET;
		return placement;
	}
	placement.kind = PLACE_TO_TARGET;
	placement.reason = REASON_TABLE_DEFAULT;
	placement.target_id = target->target_id;
	placement.endpoint = target->endpoint;
	return placement;
}

static void log_placement(struct packet_task *packets,
			  const struct placement *placement)
{
	char text[ENDPOINT_TEXT_BYTES];

	log_write(packets->log, LOG_LEVEL_INFO, "placement",
		  "service=%08" PRIx32 " target=%s reason=%s",
		  placement->service_id,
		  placement->kind == PLACE_TO_TARGET
			  ? endpoint_format(&placement->endpoint, text)
			  : "none",
		  reason_name(placement->reason));
}

static void count_drop(struct packet_task *packets, enum reason reason)
{
	uint32_t row = reason == REASON_NO_SERVICE ? PACKETS_NO_SERVICE
						   : PACKETS_NO_TARGET;

	counter_set_add(packets->counters, row, 1);
}

static void on_packet(void *context, const struct endpoint *from,
		      const uint8_t *bytes, uint32_t length_bytes)
{
	struct packet_task *packets = context;
	struct packet_event event;
	struct placement placement;
	bool is_sent;

	counter_set_add(packets->counters, PACKETS_RECEIVED, 1);
	if (!packet_parse(&event, bytes, length_bytes)) {
		counter_set_add(packets->counters, PACKETS_MALFORMED, 1);
		return;
	}
	placement = place(packets, &event);
	if (event.kind == PACKET_FIRST || placement.kind == PLACE_DROP)
		log_placement(packets, &placement);
	if (placement.kind != PLACE_TO_TARGET) {
		count_drop(packets, placement.reason);
		return;
	}
	is_sent = udp_socket_send(packets->socket, &placement.endpoint, bytes,
				  length_bytes);
	counter_set_add(packets->counters,
			is_sent ? PACKETS_FORWARDED : PACKETS_NOT_SENT, 1);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct packet_task *packets = context;
	struct udp_socket_options options = {
		.listen = packets->settings->listen_packets,
		.buffer_bytes = RECEIVE_BUFFER_BYTES,
		.context = packets,
		.receive = on_packet,
	};

	packets->socket = udp_socket_new(task, &options, error);
	return packets->socket != NULL;
}

/* This front end keeps no records, so there is nothing to hand over. */
static void answer_drain(struct packet_task *packets,
			 const struct drain_message *drain)
{
	struct message *drained = drained_message_new(packets->task);

	if (task_post(drain->reply_to, drained) != POST_TAKEN)
		message_free(drained);
}

static void handle(void *context, struct message *message)
{
	struct packet_task *packets = context;

	if (message->type == &rules_message_type) {
		rule_set_free(packets->rules);
		packets->rules = rules_message_take(message);
	} else if (message->type == &metrics_request_type) {
		metrics_request_answer(message, packets->counters);
	} else if (message->type == &log_settings_message_type) {
		log_settings_message_apply(
			(struct log_settings_message *)message, packets->log);
	} else if (message->type == &drain_message_type) {
		answer_drain(packets, (struct drain_message *)message);
	}
	message_free(message);
}

static void stop(void *context)
{
	struct packet_task *packets = context;

	udp_socket_free(packets->socket);
	packets->socket = NULL;
}

/*
 * Makes the packet front end with no rules yet, so that it drops everything.
 * The settings must outlive it; the caller frees it with packet_task_free.
 */
struct packet_task *packet_task_new(const struct settings *settings,
				    GError **error)
{
	struct packet_task *packets = g_new0(struct packet_task, 1);
	struct task_options options = {
		.name = "packets",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = packets,
		.start = start,
		.handle = handle,
		.stop = stop,
	};
	struct log_options log_options = {
		.program = "shallotd",
		.task = "packets",
		.level = (enum log_level)settings->log_level,
		.rate_per_s = settings->log_rate_per_s,
		.fd = STDERR_FILENO,
	};

	packets->settings = settings;
	packets->rules = rule_set_new(0);
	packets->counters = counter_set_new(counter_rows, PACKET_COUNTER_COUNT);
	packets->log = log_new(&log_options);
	packets->task = task_new(&options, error);
	if (packets->task)
		return packets;
	packet_task_free(packets);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void packet_task_free(struct packet_task *packets)
{
	if (!packets)
		return;
	task_free(packets->task);
	rule_set_free(packets->rules);
	counter_set_free(packets->counters);
	log_free(packets->log);
	g_free(packets);
}

/* Returns the task, to start it and to post messages to it. */
struct task *packet_task_task(struct packet_task *packets)
{
	return packets->task;
}
