#include "peer_flows.h"

#include <core/relay_tag.h>
#include <task/timer.h>

/*
 * How long moved flows are collected for one message. The node that opened a
 * flow must know before it may resend the opening packet, 30 ms after it.
 */
#define MOVED_DELAY_MS 5

/* asked_until_ms is when the bandwidth has covered the last question. */
struct peer_flows {
	struct peer_flows_options options;
	struct timer *moved_timer;
	struct relay_message moved;
	int64_t asked_until_ms;
};

static void add_flow(struct relay_message *message, struct hash128 flow_hash,
		     uint32_t number)
{
	message->flows[message->flow_count++] = flow_hash;
	message->numbers[message->number_count++] = number;
}

static void clear_flows(struct relay_message *message)
{
	message->flow_count = 0;
	message->number_count = 0;
}

/* Timer callback: sends the moved flows. */
static void send_moved(void *context)
{
	struct peer_flows *flows = context;

	if (flows->moved.flow_count == 0)
		return;
	flows->options.send_to_zone(flows->options.context, &flows->moved);
	clear_flows(&flows->moved);
}

/* Creates the exchange in the task. Free it with peer_flows_free. */
struct peer_flows *peer_flows_new(struct task *task,
				  const struct peer_flows_options *options)
{
	struct peer_flows *flows = g_new0(struct peer_flows, 1);

	flows->options = *options;
	flows->moved.kind = RELAY_MESSAGE_MOVED;
	flows->moved_timer = timer_new(task, flows, send_moved);
	return flows;
}

/* Frees the exchange; NULL is allowed. */
void peer_flows_free(struct peer_flows *flows)
{
	if (!flows)
		return;
	timer_free(flows->moved_timer);
	g_free(flows);
}

/* Queues the report of a flow that this node has taken over. */
void peer_flows_queue_moved(struct peer_flows *flows, struct hash128 flow_hash,
			    uint32_t tag)
{
	if (flows->moved.flow_count == RELAY_MESSAGE_NUMBER_COUNT_MAX)
		send_moved(flows);
	if (flows->moved.flow_count == 0)
		timer_once(flows->moved_timer, MOVED_DELAY_MS);
	add_flow(&flows->moved, flow_hash, tag);
}

/* Nodes of version 1 state no tags. */
static uint32_t tag_at(const struct relay_message *message, uint32_t index)
{
	return index < message->number_count ? message->numbers[index]
					     : RELAY_TAG_NONE;
}

static void handle_moved(struct peer_flows *flows,
			 const struct relay_message *message, int64_t now_ms)
{
	for (uint32_t i = 0; i < message->flow_count; i++)
		relay_director_handle_flow_moved(flows->options.director,
						 message->flows[i],
						 tag_at(message, i), now_ms);
}

static void handle_found(struct peer_flows *flows,
			 const struct relay_message *message, int64_t now_ms)
{
	for (uint32_t i = 0; i < message->flow_count; i++)
		relay_director_handle_flow_found(flows->options.director,
						 message->flows[i],
						 tag_at(message, i), now_ms);
}

/* Answers with those of the flows that this node has. */
static void handle_sought(struct peer_flows *flows,
			  const struct relay_peer *sender,
			  const struct relay_message *message)
{
	struct relay_message found = {.kind = RELAY_MESSAGE_FOUND};

	for (uint32_t i = 0; i < message->number_count; i++) {
		const struct relay_sought_flow sought = {message->flows[i],
							 message->numbers[i]};
		uint32_t tag = relay_director_find_tag(flows->options.director,
						       &sought);

		if (tag != RELAY_TAG_NONE)
			add_flow(&found, sought.hash, tag);
	}
	if (found.flow_count > 0)
		flows->options.send_to(flows->options.context, sender, &found);
}

/* Handles a message from another node; ignores those not about flows. */
void peer_flows_handle(struct peer_flows *flows,
		       const struct relay_peer *sender,
		       const struct relay_message *message, int64_t now_ms)
{
	switch (message->kind) {
	case RELAY_MESSAGE_MOVED:
		handle_moved(flows, message, now_ms);
		break;
	case RELAY_MESSAGE_FOUND:
		handle_found(flows, message, now_ms);
		break;
	case RELAY_MESSAGE_SOUGHT:
		handle_sought(flows, sender, message);
		break;
	default:
		break;
	}
}

/*
 * Asks the other nodes for the flows that are due. Nodes of all zones are
 * asked, as callers of a zone without a node in rotation use those of others.
 */
void peer_flows_tick(struct peer_flows *flows, int64_t now_ms)
{
	struct relay_sought_flow sought[RELAY_SOUGHT_COUNT_MAX];
	struct relay_message message = {.kind = RELAY_MESSAGE_SOUGHT};
	uint32_t count;

	if (now_ms < flows->asked_until_ms)
		return;
	count = relay_director_take_sought(flows->options.director, sought,
					   now_ms);
	if (count == 0)
		return;
	for (uint32_t i = 0; i < count; i++)
		add_flow(&message, sought[i].hash, sought[i].sequence);
	flows->asked_until_ms =
		now_ms +
		flows->options.send_to_all(flows->options.context, &message);
}
