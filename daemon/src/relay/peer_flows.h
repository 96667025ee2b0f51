#ifndef PEER_FLOWS_H
#define PEER_FLOWS_H

#include <core/relay_director.h>
#include <core/relay_message.h>
#include <core/relay_peer.h>
#include <task/task.h>

/*
 * Exchanges with other nodes which of them has a flow: reports those that this
 * node has taken over, asks for those that it has opened and whose next packet
 * it did not see, and answers such questions.
 */
struct peer_flows;

/*
 * send_to_zone sends a message to the other nodes of this node's zone.
 * send_to_all sends one to all other nodes and returns how long the bandwidth
 * for messages to other zones takes to cover it, in milliseconds. send_to sends
 * one to a single node.
 */
struct peer_flows_options {
	struct relay_director *director;
	void *context;
	void (*send_to_zone)(void *context,
			     const struct relay_message *message);
	uint32_t (*send_to_all)(void *context,
				const struct relay_message *message);
	void (*send_to)(void *context, const struct relay_peer *peer,
			const struct relay_message *message);
};

struct peer_flows *peer_flows_new(struct task *task,
				  const struct peer_flows_options *options);
void peer_flows_free(struct peer_flows *flows);
void peer_flows_queue_moved(struct peer_flows *flows, struct hash128 flow_hash,
			    uint32_t tag);
void peer_flows_handle(struct peer_flows *flows,
		       const struct relay_peer *sender,
		       const struct relay_message *message, int64_t now_ms);
void peer_flows_tick(struct peer_flows *flows, int64_t now_ms);

#endif
