#ifndef RELAY_SENDER_H
#define RELAY_SENDER_H

#include <core/relay_packet.h>
#include <core/relay_verdict.h>
#include <task/counter_set.h>
#include <task/udp_socket.h>

/*
 * The packet socket of a relay task, which sends packets to targets and resets
 * to callers. receive is called for each packet that the socket receives, and
 * emptied when all packets that had arrived have been received.
 */
struct relay_sender;

struct relay_sender_options {
	struct endpoint listen;
	struct counter_set *counters;
	void *context;
	void (*receive)(void *context, const struct endpoint *from,
			const uint8_t *bytes, uint32_t length_bytes);
	void (*emptied)(void *context);
};

struct relay_sender *
relay_sender_new(struct task *task, const struct relay_sender_options *options,
		 GError **error);
void relay_sender_free(struct relay_sender *sender);
void relay_sender_forward(struct relay_sender *sender,
			  const struct relay_verdict *verdict,
			  const uint8_t *bytes, uint32_t length_bytes);
int64_t relay_sender_packet_age_ms(const struct relay_sender *sender);
void relay_sender_reset(struct relay_sender *sender,
			const struct relay_packet *packet);

#endif
