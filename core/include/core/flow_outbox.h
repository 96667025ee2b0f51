#ifndef CORE_FLOW_OUTBOX_H
#define CORE_FLOW_OUTBOX_H

#include <core/flow_message.h>

/*
 * Reliable delivery of messages to other nodes: batches flow entries, limits
 * the send rate, and retransmits until acknowledged. Messages may arrive out of
 * order.
 */
struct flow_outbox;

/*
 * send passes one message to the network; context is passed to it.
 * on_message_acked is called with acked_context when the receiver has
 * acknowledged a message.
 */
struct flow_outbox_options {
	uint32_t bytes_per_s;
	void *context;
	void (*send)(void *context, uint64_t to_node_id,
		     const struct flow_message *message);
	void *acked_context;
	void (*on_message_acked)(void *context, uint64_t to_node_id,
				 const struct flow_message *message);
};

struct flow_outbox *flow_outbox_new(const struct flow_outbox_options *options);
void flow_outbox_free(struct flow_outbox *outbox);
uint32_t flow_outbox_queued_count(const struct flow_outbox *outbox);
bool flow_outbox_has_budget(const struct flow_outbox *outbox);
bool flow_outbox_add_entry(struct flow_outbox *outbox, uint64_t to_node_id,
			   enum flow_message_kind kind, uint64_t hash_low,
			   const struct target *target, int64_t now_ms);
void flow_outbox_enqueue(struct flow_outbox *outbox, uint64_t to_node_id,
			 const struct flow_message *message);
void flow_outbox_schedule_ack(struct flow_outbox *outbox, uint64_t from_node_id,
			      uint32_t sequence, int64_t now_ms);
void flow_outbox_handle_ack(struct flow_outbox *outbox, uint64_t from_node_id,
			    const struct flow_message *ack);
bool flow_outbox_is_idle(const struct flow_outbox *outbox, uint64_t to_node_id);
void flow_outbox_drop_peer(struct flow_outbox *outbox, uint64_t node_id);
void flow_outbox_tick(struct flow_outbox *outbox, int64_t now_ms);
uint64_t flow_outbox_sent_bytes(const struct flow_outbox *outbox);

#endif
