#include <core/flow_message.h>

#include <core/home_map.h>

#define TARGET_BYTES_V4 32
#define TARGET_BYTES_V6 44
#define ENTRY_BYTES 9
#define SLOT_BYTES 2
#define XDR_ALIGN_BYTES 4

/* Overhead of the lower layers: RPC header with digest, UDP and IP. */
#define ENVELOPE_BYTES 104

/*
 * Largest message with entries; small enough to avoid IP fragmentation at an
 * MTU of 1500.
 */
#define DATAGRAM_BYTES_MAX 1400

/* Version, kind, sequence number and the fixed-size fields of each kind. */
static const uint32_t fixed_part_bytes[FLOW_MESSAGE_KIND_COUNT] = {
	[FLOW_MIRROR] = 20,  [FLOW_HANDOVER] = 20,	[FLOW_POOL] = 32,
	[FLOW_TARGETS] = 16, [FLOW_HANDOVER_DONE] = 36, [FLOW_ACK] = 16,
};

static uint32_t align_xdr(uint32_t size_bytes)
{
	return (size_bytes + XDR_ALIGN_BYTES - 1) / XDR_ALIGN_BYTES *
	       XDR_ALIGN_BYTES;
}

/*
 * Returns the size of the message on the network, including the overhead of
 * lower layers, as charged to the byte budget.
 */
uint32_t flow_message_size_bytes(const struct flow_message *message)
{
	uint32_t size_bytes = ENVELOPE_BYTES + fixed_part_bytes[message->kind];

	for (uint32_t i = 0; i < message->target_count; i++)
		size_bytes += message->targets[i].endpoint.addr.is_v6
				      ? TARGET_BYTES_V6
				      : TARGET_BYTES_V4;
	size_bytes += align_xdr(message->entry_count * ENTRY_BYTES);
	return size_bytes + align_xdr(message->slot_count * SLOT_BYTES);
}

static uint32_t find_target(const struct flow_message *message,
			    uint64_t target_id)
{
	uint32_t index = 0;

	while (index < message->target_count &&
	       message->targets[index].target_id != target_id)
		index++;
	return index;
}

/* Adds a flow and its target; returns false when the message is full. */
bool flow_message_add_entry(struct flow_message *message, uint64_t hash_low,
			    const struct target *target)
{
	uint32_t index = find_target(message, target->target_id);

	if (message->entry_count == FLOW_MESSAGE_ENTRIES_MAX ||
	    index == FLOW_MESSAGE_TARGETS_MAX ||
	    flow_message_size_bytes(message) + TARGET_BYTES_V6 + ENTRY_BYTES >
		    DATAGRAM_BYTES_MAX)
		return false;
	if (index == message->target_count)
		message->targets[message->target_count++] = *target;
	message->entries[message->entry_count++] = (struct flow_entry){
		.hash_low = hash_low,
		.target_index = (uint8_t)index,
	};
	return true;
}

/*
 * Checks that counts and indexes are in range and that every target id matches
 * the target's endpoint, incarnation and service.
 */
bool flow_message_is_valid(const struct flow_message *message)
{
	if (message->kind >= FLOW_MESSAGE_KIND_COUNT ||
	    message->target_count > FLOW_MESSAGE_TARGETS_MAX ||
	    message->entry_count > FLOW_MESSAGE_ENTRIES_MAX ||
	    message->slot_count > FLOW_MESSAGE_SLOTS_MAX)
		return false;
	for (uint32_t i = 0; i < message->target_count; i++) {
		const struct target *target = &message->targets[i];

		if (target_id_of(target) != target->target_id ||
		    target->state >= TARGET_STATE_COUNT)
			return false;
	}
	for (uint32_t i = 0; i < message->entry_count; i++) {
		if (message->entries[i].target_index >= message->target_count)
			return false;
	}
	for (uint32_t i = 0; i < message->slot_count; i++) {
		if (message->slots[i] >= HOME_SLOT_COUNT)
			return false;
	}
	return true;
}
