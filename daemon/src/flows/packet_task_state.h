#ifndef PACKET_TASK_STATE_H
#define PACKET_TASK_STATE_H

#include <daemon/packet_task.h>

#include "packet_counters.h"

#include <core/flow_director.h>
#include <task/timer.h>
#include <task/udp_socket.h>
#include <wire/forward_header.h>
#include <wire/packet.h>

/* State shared by packet_task.c and packet_forward.c. */
struct packet_task {
	struct task *task;
	const struct settings *settings;
	struct udp_socket *socket;
	struct timer *tick_timer;
	struct flow_director *director;
	struct node_view *view;
	struct packet_counters *counters;
	struct log *log;
	/* Sends messages to other nodes; may be NULL. */
	struct task *control;
	uint64_t node_id;
	/* Readiness last posted to control, which assumes true at first. */
	bool is_ready;
	/* Receives the drained_message; NULL if no drain is in progress. */
	struct task *drain_reply_to;
	/* Buffer for a packet with its forward header. */
	uint8_t forward_buffer[FORWARD_HEADER_BYTES + PACKET_BYTES_MAX];
};

/* packet_forward.c: callbacks of the director and the packet socket. */
void packet_forward_send_message(void *context, uint64_t to_node_id,
				 const struct flow_message *message);
void packet_forward_receive(void *context, const struct endpoint *from,
			    const uint8_t *bytes, uint32_t length_bytes);

#endif
