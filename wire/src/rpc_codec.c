#include <wire/rpc_codec.h>

#include <rpc/rpc.h>
#include <string.h>
#include <wire/procedure.h>
#include <wire/wire_error.h>

/* The flavor of the verifier; another layout requires another flavor. */
#define FLAVOR_SHALLOT ((enum_t)SHALLOT_PROGRAM)
#define VERIFIER_FIELDS_BYTES 20
#define VERIFIER_BYTES (VERIFIER_FIELDS_BYTES + MAC_BYTES)
/* The verifier's body starts at byte 40 of a call and at byte 20 of a reply. */
#define CALL_MAC_OFFSET_BYTES (40 + VERIFIER_FIELDS_BYTES)
#define REPLY_MAC_OFFSET_BYTES (20 + VERIFIER_FIELDS_BYTES)
#define KIND_OFFSET_BYTES 4
#define HEADER_BYTES_MAX 128

static const enum accept_stat accept_stats[RPC_STATUS_COUNT] = {
	[RPC_STATUS_SUCCESS] = SUCCESS,
	[RPC_STATUS_PROGRAM_MISMATCH] = PROG_MISMATCH,
	[RPC_STATUS_PROCEDURE_UNAVAILABLE] = PROC_UNAVAIL,
	[RPC_STATUS_GARBAGE_ARGUMENTS] = GARBAGE_ARGS,
};

/* The body of a verifier, whose last MAC_BYTES are the MAC, and its key id. */
struct verifier {
	uint32_t key_id;
	uint8_t bytes[MAX_AUTH_BYTES];
};

static bool xdr_verifier_fields(XDR *xdrs, uint32_t *key_id,
				struct rpc_message *message)
{
	return xdr_uint32_t(xdrs, key_id) &&
	       xdr_uint64_t(xdrs, &message->sender_id) &&
	       xdr_uint32_t(xdrs, &message->sequence) &&
	       xdr_uint32_t(xdrs, &message->sent_s);
}

static struct opaque_auth write_verifier(struct verifier *verifier,
					 struct rpc_message *message)
{
	XDR xdrs;

	memset(verifier->bytes, 0, VERIFIER_BYTES);
	xdrmem_create(&xdrs, (char *)verifier->bytes, VERIFIER_FIELDS_BYTES,
		      XDR_ENCODE);
	xdr_verifier_fields(&xdrs, &verifier->key_id, message);
	return (struct opaque_auth){.oa_flavor = FLAVOR_SHALLOT,
				    .oa_base = (caddr_t)verifier->bytes,
				    .oa_length = VERIFIER_BYTES};
}

/* Replies have a status but no results. */
static bool_t xdr_no_results(XDR *xdrs, ...)
{
	return TRUE;
}

static bool write_call(XDR *xdrs, const struct rpc_message *message,
		       struct opaque_auth verifier)
{
	struct rpc_msg header = {.rm_xid = message->xid, .rm_direction = CALL};

	header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	header.rm_call.cb_prog = SHALLOT_PROGRAM;
	header.rm_call.cb_vers = message->version;
	header.rm_call.cb_proc = message->procedure;
	header.rm_call.cb_verf = verifier;
	return xdr_callmsg(xdrs, &header);
}

static bool write_reply(XDR *xdrs, const struct rpc_message *message,
			struct opaque_auth verifier)
{
	struct rpc_msg header = {.rm_xid = message->xid, .rm_direction = REPLY};

	header.rm_reply.rp_stat = MSG_ACCEPTED;
	header.acpted_rply.ar_verf = verifier;
	header.acpted_rply.ar_stat = accept_stats[message->status];
	header.acpted_rply.ar_results.proc = xdr_no_results;
	if (message->status == RPC_STATUS_PROGRAM_MISMATCH) {
		header.acpted_rply.ar_vers.low = SHALLOT_PROGRAM_VERSION;
		header.acpted_rply.ar_vers.high = SHALLOT_PROGRAM_VERSION;
	}
	return xdr_replymsg(xdrs, &header);
}

/* The MAC covers the message except for the bytes of the MAC itself. */
static struct mac_input input_around_mac(const uint8_t *bytes,
					 uint32_t length_bytes,
					 uint32_t mac_offset_bytes)
{
	uint32_t tail_bytes = mac_offset_bytes + MAC_BYTES;

	return (struct mac_input){.head = bytes,
				  .head_bytes = mac_offset_bytes,
				  .tail = bytes + tail_bytes,
				  .tail_bytes = length_bytes - tail_bytes};
}

static uint32_t mac_offset(enum rpc_kind kind)
{
	return kind == RPC_KIND_CALL ? CALL_MAC_OFFSET_BYTES
				     : REPLY_MAC_OFFSET_BYTES;
}

/*
 * Encodes a message as an ONC RPC call or reply (RFC 5531). Its verifier has
 * the key id, sender id, sequence number, time and MAC. Free the bytes with
 * g_byte_array_unref. Fails with WIRE_ERROR_TOO_LARGE.
 */
GByteArray *rpc_codec_encode(const struct rpc_message *message,
			     const struct key_ring *ring, GError **error)
{
	struct rpc_message copy = *message;
	struct verifier verifier = {.key_id = key_ring_signing_key_id(ring)};
	struct opaque_auth auth = write_verifier(&verifier, &copy);
	uint8_t header[HEADER_BYTES_MAX];
	struct mac_input input;
	GByteArray *bytes;
	XDR xdrs;
	bool is_written;

	xdrmem_create(&xdrs, (char *)header, sizeof(header), XDR_ENCODE);
	is_written = message->kind == RPC_KIND_CALL
			     ? write_call(&xdrs, message, auth)
			     : write_reply(&xdrs, message, auth);
	if (!is_written || message->length_bytes > RPC_BODY_BYTES_MAX) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_TOO_LARGE,
			    "message body too large: %" G_GUINT32_FORMAT
			    " bytes",
			    message->length_bytes);
		return NULL;
	}
	bytes = g_byte_array_sized_new(xdr_getpos(&xdrs) +
				       message->length_bytes);
	g_byte_array_append(bytes, header, xdr_getpos(&xdrs));
	g_byte_array_append(bytes, message->body, message->length_bytes);
	input = input_around_mac(bytes->data, bytes->len,
				 mac_offset(message->kind));
	key_ring_sign(ring, &input, bytes->data + mac_offset(message->kind));
	return bytes;
}

static bool read_call(XDR *xdrs, struct rpc_message *message,
		      struct verifier *verifier)
{
	uint8_t credential[MAX_AUTH_BYTES];
	struct rpc_msg header = {.rm_xid = 0};

	header.rm_call.cb_cred.oa_base = (caddr_t)credential;
	header.rm_call.cb_verf.oa_base = (caddr_t)verifier->bytes;
	if (!xdr_callmsg(xdrs, &header))
		return false;
	message->xid = header.rm_xid;
	message->version = header.rm_call.cb_vers;
	message->procedure = header.rm_call.cb_proc;
	return header.rm_call.cb_prog == SHALLOT_PROGRAM &&
	       header.rm_call.cb_cred.oa_flavor == AUTH_NONE &&
	       header.rm_call.cb_cred.oa_length == 0 &&
	       header.rm_call.cb_verf.oa_flavor == FLAVOR_SHALLOT &&
	       header.rm_call.cb_verf.oa_length == VERIFIER_BYTES;
}

static bool status_from_accept(enum rpc_status *status, enum accept_stat stat)
{
	for (uint32_t i = 0; i < RPC_STATUS_COUNT; i++) {
		if (accept_stats[i] == stat) {
			*status = (enum rpc_status)i;
			return true;
		}
	}
	return false;
}

static bool read_reply(XDR *xdrs, struct rpc_message *message,
		       struct verifier *verifier)
{
	struct rpc_msg header = {.rm_xid = 0};

	header.acpted_rply.ar_verf.oa_base = (caddr_t)verifier->bytes;
	header.acpted_rply.ar_results.proc = xdr_no_results;
	if (!xdr_replymsg(xdrs, &header) ||
	    header.rm_reply.rp_stat != MSG_ACCEPTED)
		return false;
	message->xid = header.rm_xid;
	message->version = SHALLOT_PROGRAM_VERSION;
	return header.acpted_rply.ar_verf.oa_flavor == FLAVOR_SHALLOT &&
	       header.acpted_rply.ar_verf.oa_length == VERIFIER_BYTES &&
	       status_from_accept(&message->status, header.acpted_rply.ar_stat);
}

static bool read_header(XDR *xdrs, struct rpc_message *message,
			struct verifier *verifier)
{
	XDR fields;

	if (message->kind == RPC_KIND_CALL) {
		if (!read_call(xdrs, message, verifier))
			return false;
	} else if (!read_reply(xdrs, message, verifier)) {
		return false;
	}
	xdrmem_create(&fields, (char *)verifier->bytes, VERIFIER_FIELDS_BYTES,
		      XDR_DECODE);
	return xdr_verifier_fields(&fields, &verifier->key_id, message);
}

static bool fail(GError **error, enum wire_error code, const char *text)
{
	g_set_error_literal(error, WIRE_ERROR, code, text);
	return false;
}

static bool read_kind(struct rpc_message *message, const uint8_t *bytes)
{
	static const uint8_t kinds[][4] = {{0, 0, 0, CALL}, {0, 0, 0, REPLY}};

	for (uint32_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (memcmp(bytes + KIND_OFFSET_BYTES, kinds[i],
			   sizeof(kinds[i])) == 0) {
			message->kind = (enum rpc_kind)i;
			return true;
		}
	}
	return false;
}

/*
 * Decodes and authenticates a message. Fails with WIRE_ERROR_TRUNCATED,
 * WIRE_ERROR_MALFORMED, WIRE_ERROR_TOO_LARGE, WIRE_ERROR_AUTHENTICATION, and
 * with WIRE_ERROR_VERSION if an authenticated call is for another version of
 * the program. In the last case message is filled in, so that the caller can
 * reply to it.
 */
bool rpc_codec_decode(struct rpc_message *message, const uint8_t *bytes,
		      uint32_t length_bytes, const struct key_ring *ring,
		      GError **error)
{
	struct verifier verifier = {.key_id = 0};
	struct mac_input input;
	uint32_t mac_offset_bytes;
	XDR xdrs;

	memset(message, 0, sizeof(*message));
	if (length_bytes > RPC_RECORD_BYTES_MAX)
		return fail(error, WIRE_ERROR_TOO_LARGE, "message too large");
	if (length_bytes < REPLY_MAC_OFFSET_BYTES + MAC_BYTES)
		return fail(error, WIRE_ERROR_TRUNCATED, "truncated message");
	if (!read_kind(message, bytes))
		return fail(error, WIRE_ERROR_MALFORMED,
			    "message is neither a call nor a reply");
	mac_offset_bytes = mac_offset(message->kind);
	xdrmem_create(&xdrs, (char *)bytes, length_bytes, XDR_DECODE);
	if (!read_header(&xdrs, message, &verifier))
		return fail(error, WIRE_ERROR_MALFORMED,
			    "malformed RPC header");
	input = input_around_mac(bytes, length_bytes, mac_offset_bytes);
	if (!key_ring_verify(ring, verifier.key_id, &input,
			     bytes + mac_offset_bytes))
		return fail(error, WIRE_ERROR_AUTHENTICATION,
			    "message authentication failed");
	message->body = bytes + xdr_getpos(&xdrs);
	message->length_bytes = length_bytes - xdr_getpos(&xdrs);
	if (message->version != SHALLOT_PROGRAM_VERSION)
		return fail(error, WIRE_ERROR_VERSION,
			    "unsupported RPC program version");
	return true;
}
