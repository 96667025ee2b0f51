#include <wire/relay_codec.h>

#include <relay.h>
#include <rpc/rpc.h>
#include <string.h>
#include <wire/procedure.h>

static bool xdr_loads(XDR *xdrs, struct relay_message *message,
		      uint32_t size_bytes)
{
	struct relay_wire_load loads[RELAY_WIRE_LOADS_MAX];
	struct relay_wire_loads wire = {.node_id = message->node_id};

	wire.loads.loads_val = loads;
	wire.loads.loads_len = message->load_count;
	for (uint32_t i = 0; i < message->load_count; i++) {
		loads[i].tag = message->loads[i].tag;
		loads[i].open_count = message->loads[i].open_count;
	}
	if (!xdr_relay_wire_loads(xdrs, &wire))
		return false;
	message->node_id = wire.node_id;
	message->load_count = wire.loads.loads_len;
	for (uint32_t i = 0; i < message->load_count; i++) {
		message->loads[i].tag = loads[i].tag;
		message->loads[i].open_count = loads[i].open_count;
	}
	return true;
}

static bool xdr_flows(XDR *xdrs, struct relay_message *message)
{
	struct relay_wire_print flows[RELAY_WIRE_FLOWS_MAX];
	struct relay_wire_moved wire = {.node_id = message->node_id};

	wire.flows.flows_val = flows;
	wire.flows.flows_len = message->flow_count;
	for (uint32_t i = 0; i < message->flow_count; i++) {
		flows[i].high = message->flows[i].high;
		flows[i].low = message->flows[i].low;
	}
	if (!xdr_relay_wire_moved(xdrs, &wire))
		return false;
	message->node_id = wire.node_id;
	message->flow_count = wire.flows.flows_len;
	for (uint32_t i = 0; i < message->flow_count; i++) {
		message->flows[i].high = flows[i].high;
		message->flows[i].low = flows[i].low;
	}
	return true;
}

/* There is a number for each flow. */
static bool xdr_numbers(XDR *xdrs, struct relay_message *message)
{
	struct relay_wire_numbers wire;

	wire.numbers.numbers_val = message->numbers;
	wire.numbers.numbers_len = message->number_count;
	if (!xdr_relay_wire_numbers(xdrs, &wire))
		return false;
	message->number_count = wire.numbers.numbers_len;
	return message->number_count == message->flow_count;
}

/* Nodes of version 1 state no tags. */
static bool xdr_moved(XDR *xdrs, struct relay_message *message,
		      uint32_t size_bytes)
{
	bool has_tags;

	if (!xdr_flows(xdrs, message))
		return false;
	has_tags = xdrs->x_op == XDR_DECODE ? xdr_getpos(xdrs) < size_bytes
					    : message->number_count > 0;
	return !has_tags || xdr_numbers(xdrs, message);
}

static bool xdr_numbered_flows(XDR *xdrs, struct relay_message *message,
			       uint32_t size_bytes)
{
	return xdr_flows(xdrs, message) && xdr_numbers(xdrs, message);
}

static bool xdr_zone(XDR *xdrs, struct relay_message *message,
		     uint32_t size_bytes)
{
	struct relay_zone_report *zone = &message->zone;
	struct relay_wire_zone wire = {
		.node_id = message->node_id,
		.zone_id = zone->zone_id,
		.is_alive = zone->is_alive ? 1 : 0,
	};

	wire.tags.tags_val = zone->tags;
	wire.tags.tags_len = zone->tag_count;
	if (!xdr_relay_wire_zone(xdrs, &wire))
		return false;
	message->node_id = wire.node_id;
	zone->zone_id = wire.zone_id;
	zone->is_alive = wire.is_alive != 0;
	zone->tag_count = wire.tags.tags_len;
	return true;
}

static bool xdr_target(XDR *xdrs, struct relay_message *message,
		       uint32_t size_bytes)
{
	struct relay_target_report *target = &message->target;
	struct relay_wire_target wire = {
		.node_id = message->node_id,
		.tag = target->tag,
		.is_alive = target->is_alive ? 1 : 0,
		.alive_age_ms = target->alive_age_ms,
		.flow = target->flow,
	};

	if (!xdr_relay_wire_target(xdrs, &wire))
		return false;
	message->node_id = wire.node_id;
	target->tag = wire.tag;
	target->is_alive = wire.is_alive != 0;
	target->alive_age_ms = wire.alive_age_ms;
	target->flow = wire.flow;
	return true;
}

/*
 * Each function encodes or decodes a body, according to the XDR operation.
 * size_bytes is the size of the message or, to encode it, of the buffer.
 */
static bool (*const body_codecs[RELAY_MESSAGE_KIND_COUNT])(
	XDR *xdrs, struct relay_message *message, uint32_t size_bytes) = {
	[RELAY_MESSAGE_LOADS] = xdr_loads,
	[RELAY_MESSAGE_MOVED] = xdr_moved,
	[RELAY_MESSAGE_ZONE] = xdr_zone,
	[RELAY_MESSAGE_TARGET] = xdr_target,
	[RELAY_MESSAGE_SOUGHT] = xdr_numbered_flows,
	[RELAY_MESSAGE_FOUND] = xdr_numbered_flows,
};

/*
 * Encodes a message as a one-way ONC RPC call (RFC 5531) without
 * authentication; receivers identify the sender by its address. Returns the
 * length in bytes, or 0 if the buffer is too small.
 */
uint32_t relay_codec_encode(const struct relay_message *message, uint8_t *bytes,
			    uint32_t size_bytes)
{
	struct relay_message copy = *message;
	struct rpc_msg header = {.rm_direction = CALL};
	XDR xdrs;

	header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	header.rm_call.cb_prog = SHALLOT_PROGRAM;
	header.rm_call.cb_vers = SHALLOT_PROGRAM_VERSION;
	header.rm_call.cb_proc = PROCEDURE_RELAY_FIRST + message->kind;
	xdrmem_create(&xdrs, (char *)bytes, size_bytes, XDR_ENCODE);
	if (!xdr_callmsg(&xdrs, &header) ||
	    !body_codecs[message->kind](&xdrs, &copy, size_bytes))
		return 0;
	return xdr_getpos(&xdrs);
}

static bool read_header(struct relay_message *message, XDR *xdrs)
{
	char credentials[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg header = {.rm_xid = 0};
	uint32_t kind;

	header.rm_call.cb_cred.oa_base = credentials;
	header.rm_call.cb_verf.oa_base = verifier;
	if (!xdr_callmsg(xdrs, &header) ||
	    header.rm_call.cb_prog != SHALLOT_PROGRAM ||
	    header.rm_call.cb_vers != SHALLOT_PROGRAM_VERSION ||
	    header.rm_call.cb_proc < PROCEDURE_RELAY_FIRST)
		return false;
	kind = header.rm_call.cb_proc - PROCEDURE_RELAY_FIRST;
	message->kind = (enum relay_message_kind)kind;
	return kind < RELAY_MESSAGE_KIND_COUNT;
}

/*
 * Decodes a message. Returns false if it is truncated, has too many items or is
 * of an unknown kind.
 */
bool relay_codec_decode(struct relay_message *message, const uint8_t *bytes,
			uint32_t length_bytes)
{
	XDR xdrs;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdrs, (char *)bytes, length_bytes, XDR_DECODE);
	return read_header(message, &xdrs) &&
	       body_codecs[message->kind](&xdrs, message, length_bytes);
}
