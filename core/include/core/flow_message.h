#ifndef CORE_FLOW_MESSAGE_H
#define CORE_FLOW_MESSAGE_H

#include <core/target.h>
#include <stdbool.h>

#define FLOW_MESSAGE_TARGETS_MAX 32
#define FLOW_MESSAGE_ENTRIES_MAX 100
#define FLOW_MESSAGE_SLOTS_MAX 400
#define FLOW_MESSAGE_VERSION 1

/*
 * An exception is a flow for which another node could compute a different
 * target from its pools, so its record has to be sent.
 *
 * FLOW_MIRROR: copies of exceptions whose home is the sender.
 * FLOW_HANDOVER: exceptions whose home is the receiver from now on.
 * FLOW_POOL: all or some of the targets of one service at one generation.
 * FLOW_TARGETS: targets that accept no new flows.
 * FLOW_HANDOVER_DONE: all exceptions of the listed slots have been sent; flows
 * that are not among them use the pools of base_revision.
 * FLOW_ACK: acknowledges the message with this sequence number and those in
 * ack_mask.
 */
enum flow_message_kind {
	FLOW_MIRROR,
	FLOW_HANDOVER,
	FLOW_POOL,
	FLOW_TARGETS,
	FLOW_HANDOVER_DONE,
	FLOW_ACK,
	FLOW_MESSAGE_KIND_COUNT,
};

/* The lower half of a flow's hash, and an index into the message's targets. */
struct flow_entry {
	uint64_t hash_low;
	uint8_t target_index;
};

/*
 * One message between the flow directors of two nodes. The kind determines
 * which fields are used; the rest are zero. Handling every kind is idempotent.
 */
struct flow_message {
	enum flow_message_kind kind;
	uint32_t sequence;
	/* FLOW_ACK: bit n acknowledges sequence - (n + 1). */
	uint32_t ack_mask;
	/* Revision of the sender's configuration. */
	uint64_t revision;
	uint64_t base_revision;
	/* How much longer flows without a record use base_revision. */
	uint32_t base_remaining_ms;
	/* FLOW_POOL only, up to and including pool_count. */
	uint32_t service_id;
	uint64_t generation;
	/* Size of the complete pool; large pools take several messages. */
	uint32_t pool_count;
	uint32_t target_count;
	struct target targets[FLOW_MESSAGE_TARGETS_MAX];
	uint32_t entry_count;
	struct flow_entry entries[FLOW_MESSAGE_ENTRIES_MAX];
	uint32_t slot_count;
	uint16_t slots[FLOW_MESSAGE_SLOTS_MAX];
};

uint32_t flow_message_size_bytes(const struct flow_message *message);
bool flow_message_add_entry(struct flow_message *message, uint64_t hash_low,
			    const struct target *target);
bool flow_message_is_valid(const struct flow_message *message);

#endif
