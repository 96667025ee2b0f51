#include <wire/member_codec.h>

#include <members.h>
#include <string.h>
#include <wire/procedure.h>
#include <wire/wire_error.h>

#define BODY_BYTES_MAX 4096
#define V4_BYTES 4
#define PORT_BITS 16
#define PORT_MASK 0xffffU
#define PAGE_BITS 16
#define PAGE_MASK 0xffffU

/* Returns the procedure number of a message kind. */
uint32_t member_codec_procedure(enum member_message_kind kind)
{
	return PROCEDURE_MEMBERS_FIRST + (uint32_t)kind;
}

static u_int address_bytes(const struct ip_addr *addr)
{
	return addr->is_v6 ? IP_ADDR_BYTES : V4_BYTES;
}

static void full_to_wire(struct member_wire_full *wire, const struct node *node)
{
	const struct ip_addr *control = &node->control.addr;
	const struct ip_addr *packets = &node->packets.addr;

	wire->node_id = node->node_id;
	wire->incarnation = node->incarnation;
	wire->state = (u_int)node->state;
	wire->zone_id = node->zone_id;
	wire->ports =
		(u_int)node->control.port << PORT_BITS | node->packets.port;
	wire->feature_bits = node->feature_bits;
	wire->control_address.control_address_val = (char *)control->bytes;
	wire->control_address.control_address_len = address_bytes(control);
	if (ip_addr_equal(control, packets))
		return;
	wire->packets_address.packets_address_val = (char *)packets->bytes;
	wire->packets_address.packets_address_len = address_bytes(packets);
}

static void brief_to_wire(struct member_wire_brief *wire,
			  const struct member_update *update)
{
	wire->node_id = update->node.node_id;
	wire->incarnation = update->node.incarnation;
	wire->state = (u_int)update->node.state;
	wire->accuser_id = update->accuser_id;
}

/*
 * Encodes the body of a message. Free the bytes with g_byte_array_unref. Fails
 * with WIRE_ERROR_TOO_LARGE.
 */
GByteArray *member_codec_encode(const struct member_message *message,
				GError **error)
{
	struct member_wire_full full[MEMBER_PAGE_UPDATES_MAX] = {0};
	struct member_wire_brief brief[MEMBER_PAGE_UPDATES_MAX] = {0};
	struct member_wire_message wire = {
		.format_version = MEMBER_FORMAT_VERSION,
		.region_id = message->region_id,
		.probe_id = message->probe_id,
		.pages = message->page_index << PAGE_BITS | message->page_count,
		.subject_id = message->subject_id,
		.view_digest = message->view_digest,
		.full = {.full_val = full},
		.brief = {.brief_val = brief},
	};
	char bytes[BODY_BYTES_MAX];
	GByteArray *encoded;
	XDR xdrs;

	for (uint32_t i = 0; i < message->update_count; i++) {
		const struct member_update *update = &message->updates[i];

		if (member_update_is_full(update))
			full_to_wire(&full[wire.full.full_len++],
				     &update->node);
		else
			brief_to_wire(&brief[wire.brief.brief_len++], update);
	}
	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (!xdr_member_wire_message(&xdrs, &wire)) {
		g_set_error_literal(error, WIRE_ERROR, WIRE_ERROR_TOO_LARGE,
				    "membership message body too large");
		return NULL;
	}
	encoded = g_byte_array_new();
	g_byte_array_append(encoded, (const guint8 *)bytes, xdr_getpos(&xdrs));
	return encoded;
}

static bool address_from_wire(struct ip_addr *addr, const char *bytes,
			      u_int length)
{
	memset(addr, 0, sizeof(*addr));
	if (length != V4_BYTES && length != IP_ADDR_BYTES)
		return false;
	memcpy(addr->bytes, bytes, length);
	addr->is_v6 = length == IP_ADDR_BYTES;
	return true;
}

static bool full_from_wire(struct node *node,
			   const struct member_wire_full *wire)
{
	if (wire->state >= NODE_SUSPECT ||
	    !address_from_wire(&node->control.addr,
			       wire->control_address.control_address_val,
			       wire->control_address.control_address_len))
		return false;
	node->packets.addr = node->control.addr;
	if (wire->packets_address.packets_address_len > 0 &&
	    !address_from_wire(&node->packets.addr,
			       wire->packets_address.packets_address_val,
			       wire->packets_address.packets_address_len))
		return false;
	node->node_id = wire->node_id;
	node->incarnation = wire->incarnation;
	node->state = (enum node_state)wire->state;
	node->zone_id = wire->zone_id;
	node->control.port = (uint16_t)(wire->ports >> PORT_BITS);
	node->packets.port = (uint16_t)(wire->ports & PORT_MASK);
	node->feature_bits = wire->feature_bits;
	return true;
}

static bool brief_from_wire(struct member_update *update,
			    const struct member_wire_brief *wire)
{
	if (wire->state != NODE_SUSPECT && wire->state != NODE_DEAD)
		return false;
	update->node.node_id = wire->node_id;
	update->node.incarnation = wire->incarnation;
	update->node.state = (enum node_state)wire->state;
	update->accuser_id = wire->accuser_id;
	return true;
}

/*
 * Skips updates with an unsupported state, which a later version may add, or an
 * invalid address, and updates beyond MEMBER_PAGE_UPDATES_MAX.
 */
static void updates_from_wire(struct member_message *message,
			      const struct member_wire_message *wire)
{
	for (u_int i = 0; i < wire->full.full_len; i++) {
		struct member_update *update =
			&message->updates[message->update_count];

		if (message->update_count == MEMBER_PAGE_UPDATES_MAX)
			return;
		if (!full_from_wire(&update->node, &wire->full.full_val[i]))
			continue;
		update->node.region_id = wire->region_id;
		message->update_count++;
	}
	for (u_int i = 0; i < wire->brief.brief_len; i++) {
		if (message->update_count == MEMBER_PAGE_UPDATES_MAX)
			return;
		if (brief_from_wire(&message->updates[message->update_count],
				    &wire->brief.brief_val[i]))
			message->update_count++;
	}
}

static void message_from_wire(struct member_message *message,
			      const struct member_wire_message *wire)
{
	message->region_id = wire->region_id;
	message->probe_id = wire->probe_id;
	message->page_index = wire->pages >> PAGE_BITS;
	message->page_count = wire->pages & PAGE_MASK;
	message->subject_id = wire->subject_id;
	message->view_digest = wire->view_digest;
	updates_from_wire(message, wire);
}

static bool fail(GError **error, enum wire_error code, const char *text)
{
	g_set_error_literal(error, WIRE_ERROR, code, text);
	return false;
}

/*
 * Decodes the body of a message. Fields appended by later versions are ignored.
 * Fails with WIRE_ERROR_VERSION for an unknown procedure or a format version
 * below 1, and with WIRE_ERROR_MALFORMED if the body cannot be decoded.
 */
bool member_codec_decode(struct member_message *message, uint32_t procedure,
			 const uint8_t *bytes, uint32_t length_bytes,
			 GError **error)
{
	struct member_wire_message wire = {0};
	bool is_decoded;
	XDR xdrs;

	memset(message, 0, sizeof(*message));
	if (procedure < PROCEDURE_MEMBERS_FIRST ||
	    procedure - PROCEDURE_MEMBERS_FIRST >= MEMBER_MESSAGE_KIND_COUNT)
		return fail(error, WIRE_ERROR_VERSION,
			    "unknown membership procedure");
	message->kind =
		(enum member_message_kind)(procedure - PROCEDURE_MEMBERS_FIRST);
	xdrmem_create(&xdrs, (char *)bytes, length_bytes, XDR_DECODE);
	is_decoded = xdr_member_wire_message(&xdrs, &wire);
	if (is_decoded && wire.format_version >= MEMBER_FORMAT_VERSION)
		message_from_wire(message, &wire);
	xdr_free((xdrproc_t)(void (*)(void))xdr_member_wire_message, &wire);
	if (!is_decoded)
		return fail(error, WIRE_ERROR_MALFORMED,
			    "malformed membership message");
	if (wire.format_version < MEMBER_FORMAT_VERSION)
		return fail(error, WIRE_ERROR_VERSION,
			    "unsupported membership message format version");
	return true;
}
