#ifndef PACKET_TASK_STATE_H
#define PACKET_TASK_STATE_H

#include <daemon/packet_task.h>

#include "packet_counters.h"

#include <core/flow_director.h>
#include <task/timer.h>
#include <task/udp_socket.h>
#include <wire/forward_header.h>
#include <wire/packet.h>

/* The state that the parts of a packet task share. */
struct packet_task {
	struct task *task;
	const struct settings *settings;
	struct udp_socket *socket;
	struct timer *tick_timer;
	struct flow_director *director;
	struct node_view *view;
	struct packet_counters *counters;
	struct log *log;
	/* Carries messages to other nodes; NULL for a node without peers. */
	struct task *control;
	uint64_t node_id;
	/* What the control task was told last; it takes true to begin with. */
	bool is_ready;
	/* Who waits for the end of the drain. */
	struct task *drain_reply_to;
	uint8_t forwarded[FORWARD_HEADER_BYTES + PACKET_BYTES_MAX];
};

/* packet_forward.c: packets and messages of the director. */
void packet_forward_message(void *context, uint64_t to_node_id,
			    const struct flow_message *message);
void packet_forward_packet(void *context, const struct endpoint *from,
			   const uint8_t *bytes, uint32_t length_bytes);

#endif
