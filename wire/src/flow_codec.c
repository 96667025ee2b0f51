#include <wire/flow_codec.h>

#include <flows.h>
#include <string.h>
#include <wire/procedure.h>
#include <wire/wire_error.h>

#define BODY_BYTES_MAX 4096
#define V4_BYTES 4
#define ENTRY_BYTES 9
#define SLOT_BYTES 2
#define BYTE_BITS 8
#define XDR_UNIT_BYTES 4

/* Storage for the arrays that the generated structs point to. */
struct wire_arrays {
	flow_target_wire targets[FLOW_MESSAGE_TARGETS_MAX];
	uint8_t entries[FLOW_MESSAGE_ENTRIES_MAX * ENTRY_BYTES];
	uint8_t slots[FLOW_MESSAGE_SLOTS_MAX * SLOT_BYTES];
};

/* Returns the procedure number of messages between flow directors. */
uint32_t flow_codec_procedure(void)
{
	return PROCEDURE_FLOWS_FIRST;
}

static void target_to_wire(flow_target_wire *wire, const struct target *target)
{
	const struct ip_addr *addr = &target->endpoint.addr;

	wire->addr.addr_val = (char *)addr->bytes;
	wire->addr.addr_len = addr->is_v6 ? IP_ADDR_BYTES : V4_BYTES;
	wire->port = target->endpoint.port;
	wire->incarnation = target->incarnation;
	wire->service_id = target->service_id;
	wire->weight = target->weight;
	wire->zone_id = target->zone_id;
	wire->state = (u_int)target->state;
}

static void write_big_endian(uint8_t *out, uint64_t value, uint32_t size_bytes)
{
	for (uint32_t i = 0; i < size_bytes; i++)
		out[i] = (uint8_t)(value >> BYTE_BITS * (size_bytes - 1 - i));
}

static uint64_t read_big_endian(const uint8_t *in, uint32_t size_bytes)
{
	uint64_t value = 0;

	for (uint32_t i = 0; i < size_bytes; i++)
		value = value << BYTE_BITS | in[i];
	return value;
}

/*
 * Rounds a length up to whole XDR units. The lengths of opaque arrays are
 * rounded up before encoding, so that XDR adds no padding: libtirpc decodes
 * padding into one static buffer that all threads share. Entries are padded
 * with zero bytes, slots by repeating the last slot.
 */
static u_int round_up_to_xdr_unit(uint32_t size_bytes)
{
	return (size_bytes + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES *
	       XDR_UNIT_BYTES;
}

static void pack_slots(uint8_t *out, const struct flow_message *message)
{
	uint32_t count = message->slot_count + message->slot_count % 2;

	for (uint32_t i = 0; i < count; i++)
		write_big_endian(
			out + (size_t)i * SLOT_BYTES,
			message->slots[MIN(i, message->slot_count - 1)],
			SLOT_BYTES);
}

static void fill_arrays(struct wire_arrays *arrays,
			const struct flow_message *message)
{
	for (uint32_t i = 0; i < message->target_count; i++)
		target_to_wire(&arrays->targets[i], &message->targets[i]);
	for (uint32_t i = 0; i < message->entry_count; i++) {
		uint8_t *out = arrays->entries + (size_t)i * ENTRY_BYTES;

		write_big_endian(out, message->entries[i].hash_low,
				 sizeof(uint64_t));
		out[ENTRY_BYTES - 1] = message->entries[i].target_index;
	}
	pack_slots(arrays->slots, message);
}

static void entries_to_wire(flow_body_wire *body, struct wire_arrays *arrays,
			    const struct flow_message *message)
{
	flow_entries_wire *wire = &body->flow_body_wire_u.entries;

	wire->targets.targets_val = arrays->targets;
	wire->targets.targets_len = message->target_count;
	wire->entries.entries_val = (char *)arrays->entries;
	wire->entries.entries_len =
		round_up_to_xdr_unit(message->entry_count * ENTRY_BYTES);
}

static void pool_to_wire(flow_body_wire *body, struct wire_arrays *arrays,
			 const struct flow_message *message)
{
	flow_pool_wire *wire = &body->flow_body_wire_u.pool;

	wire->service_id = message->service_id;
	wire->generation = message->generation;
	wire->pool_count = message->pool_count;
	wire->targets.targets_val = arrays->targets;
	wire->targets.targets_len = message->target_count;
}

static void targets_to_wire(flow_body_wire *body, struct wire_arrays *arrays,
			    const struct flow_message *message)
{
	flow_targets_wire *wire = &body->flow_body_wire_u.targets;

	wire->targets.targets_val = arrays->targets;
	wire->targets.targets_len = message->target_count;
}

static void done_to_wire(flow_body_wire *body, struct wire_arrays *arrays,
			 const struct flow_message *message)
{
	flow_done_wire *wire = &body->flow_body_wire_u.done;

	wire->revision = message->revision;
	wire->base_revision = message->base_revision;
	wire->base_remaining_ms = message->base_remaining_ms;
	wire->slots.slots_val = (char *)arrays->slots;
	wire->slots.slots_len =
		round_up_to_xdr_unit(message->slot_count * SLOT_BYTES);
}

static void ack_to_wire(flow_body_wire *body, struct wire_arrays *arrays,
			const struct flow_message *message)
{
	body->flow_body_wire_u.ack_mask = message->ack_mask;
}

static bool target_from_wire(struct target *target,
			     const flow_target_wire *wire)
{
	struct ip_addr *addr = &target->endpoint.addr;

	if (wire->addr.addr_len != V4_BYTES &&
	    wire->addr.addr_len != IP_ADDR_BYTES)
		return false;
	if (wire->port > UINT16_MAX || wire->state >= TARGET_STATE_COUNT)
		return false;
	memcpy(addr->bytes, wire->addr.addr_val, wire->addr.addr_len);
	addr->is_v6 = wire->addr.addr_len == IP_ADDR_BYTES;
	target->endpoint.port = (uint16_t)wire->port;
	target->incarnation = wire->incarnation;
	target->service_id = wire->service_id;
	target->weight = wire->weight;
	target->zone_id = wire->zone_id;
	target->state = (enum target_state)wire->state;
	target->target_id = target_id_of(target);
	return true;
}

static bool target_list_from_wire(struct flow_message *message,
				  const flow_target_wire *targets, u_int count)
{
	for (u_int i = 0; i < count; i++) {
		if (!target_from_wire(&message->targets[i], &targets[i]))
			return false;
	}
	message->target_count = count;
	return true;
}

static bool entries_from_wire(struct flow_message *message,
			      const flow_body_wire *body)
{
	const flow_entries_wire *wire = &body->flow_body_wire_u.entries;
	const uint8_t *in = (const uint8_t *)wire->entries.entries_val;

	if (wire->entries.entries_len % ENTRY_BYTES >= XDR_UNIT_BYTES)
		return false;
	message->entry_count = wire->entries.entries_len / ENTRY_BYTES;
	for (uint32_t i = 0; i < message->entry_count; i++) {
		message->entries[i].hash_low =
			read_big_endian(in, sizeof(uint64_t));
		message->entries[i].target_index = in[ENTRY_BYTES - 1];
		in += ENTRY_BYTES;
	}
	return target_list_from_wire(message, wire->targets.targets_val,
				     wire->targets.targets_len);
}

static bool pool_from_wire(struct flow_message *message,
			   const flow_body_wire *body)
{
	const flow_pool_wire *wire = &body->flow_body_wire_u.pool;

	message->service_id = wire->service_id;
	message->generation = wire->generation;
	message->pool_count = wire->pool_count;
	return target_list_from_wire(message, wire->targets.targets_val,
				     wire->targets.targets_len);
}

static bool targets_from_wire(struct flow_message *message,
			      const flow_body_wire *body)
{
	const flow_targets_wire *wire = &body->flow_body_wire_u.targets;

	return target_list_from_wire(message, wire->targets.targets_val,
				     wire->targets.targets_len);
}

static bool done_from_wire(struct flow_message *message,
			   const flow_body_wire *body)
{
	const flow_done_wire *wire = &body->flow_body_wire_u.done;
	const uint8_t *in = (const uint8_t *)wire->slots.slots_val;

	if (wire->slots.slots_len % SLOT_BYTES != 0)
		return false;
	message->revision = wire->revision;
	message->base_revision = wire->base_revision;
	message->base_remaining_ms = wire->base_remaining_ms;
	message->slot_count = wire->slots.slots_len / SLOT_BYTES;
	for (uint32_t i = 0; i < message->slot_count; i++)
		message->slots[i] = (uint16_t)read_big_endian(
			in + (size_t)i * SLOT_BYTES, SLOT_BYTES);
	return true;
}

static bool ack_from_wire(struct flow_message *message,
			  const flow_body_wire *body)
{
	message->ack_mask = body->flow_body_wire_u.ack_mask;
	return true;
}

/* The body codec of each message kind. */
static const struct {
	void (*to_wire)(flow_body_wire *body, struct wire_arrays *arrays,
			const struct flow_message *message);
	bool (*from_wire)(struct flow_message *message,
			  const flow_body_wire *body);
} body_codecs[FLOW_MESSAGE_KIND_COUNT] = {
	[FLOW_MIRROR] = {entries_to_wire, entries_from_wire},
	[FLOW_HANDOVER] = {entries_to_wire, entries_from_wire},
	[FLOW_POOL] = {pool_to_wire, pool_from_wire},
	[FLOW_TARGETS] = {targets_to_wire, targets_from_wire},
	[FLOW_HANDOVER_DONE] = {done_to_wire, done_from_wire},
	[FLOW_ACK] = {ack_to_wire, ack_from_wire},
};

/*
 * Encodes the body of a message. Free the bytes with g_byte_array_unref. Fails
 * with WIRE_ERROR_TOO_LARGE.
 */
GByteArray *flow_codec_encode(const struct flow_message *message,
			      GError **error)
{
	struct wire_arrays arrays = {0};
	flow_message_wire wire = {
		.format_version = FLOW_MESSAGE_VERSION,
		.sequence = message->sequence,
		.body = {.kind = (u_int)message->kind},
	};
	char bytes[BODY_BYTES_MAX];
	GByteArray *encoded;
	XDR xdrs;

	fill_arrays(&arrays, message);
	body_codecs[message->kind].to_wire(&wire.body, &arrays, message);
	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (!xdr_flow_message_wire(&xdrs, &wire)) {
		g_set_error_literal(error, WIRE_ERROR, WIRE_ERROR_TOO_LARGE,
				    "flow message body too large");
		return NULL;
	}
	encoded = g_byte_array_new();
	g_byte_array_append(encoded, (const guint8 *)bytes, xdr_getpos(&xdrs));
	return encoded;
}

/*
 * Checks the format version and the kind before any other field of the message
 * is trusted. Fails with WIRE_ERROR_TRUNCATED or WIRE_ERROR_VERSION.
 */
static bool check_version_and_kind(const uint8_t *bytes, uint32_t length_bytes,
				   GError **error)
{
	const uint32_t kind_offset_bytes = 2 * sizeof(uint32_t);

	if (length_bytes < kind_offset_bytes + sizeof(uint32_t)) {
		g_set_error_literal(error, WIRE_ERROR, WIRE_ERROR_TRUNCATED,
				    "truncated flow message");
		return false;
	}
	if (read_big_endian(bytes, sizeof(uint32_t)) < FLOW_MESSAGE_VERSION ||
	    read_big_endian(bytes + kind_offset_bytes, sizeof(uint32_t)) >=
		    FLOW_MESSAGE_KIND_COUNT) {
		g_set_error_literal(error, WIRE_ERROR, WIRE_ERROR_VERSION,
				    "unsupported flow message format version "
				    "or unknown kind");
		return false;
	}
	return true;
}

static bool message_from_wire(struct flow_message *message,
			      const flow_message_wire *wire)
{
	message->kind = (enum flow_message_kind)wire->body.kind;
	message->sequence = wire->sequence;
	return body_codecs[wire->body.kind].from_wire(message, &wire->body) &&
	       flow_message_is_valid(message);
}

/*
 * Decodes the body of a message. Fields appended by later versions are ignored.
 * Fails with WIRE_ERROR_VERSION for a format version below 1 or an unknown
 * kind, and with WIRE_ERROR_TRUNCATED and WIRE_ERROR_MALFORMED.
 */
bool flow_codec_decode(struct flow_message *message, const uint8_t *bytes,
		       uint32_t length_bytes, GError **error)
{
	flow_message_wire wire = {0};
	bool is_valid;
	XDR xdrs;

	memset(message, 0, sizeof(*message));
	if (!check_version_and_kind(bytes, length_bytes, error))
		return false;
	xdrmem_create(&xdrs, (char *)bytes, length_bytes, XDR_DECODE);
	is_valid = xdr_flow_message_wire(&xdrs, &wire) &&
		   (wire.format_version > FLOW_MESSAGE_VERSION ||
		    xdr_getpos(&xdrs) == length_bytes) &&
		   message_from_wire(message, &wire);
	xdr_free((xdrproc_t)xdr_flow_message_wire, (char *)&wire);
	if (!is_valid)
		g_set_error_literal(error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
				    "malformed flow message");
	return is_valid;
}
