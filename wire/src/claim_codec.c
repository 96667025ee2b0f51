#include <wire/claim_codec.h>

#include <claims.h>
#include <string.h>
#include <wire/procedure.h>
#include <wire/wire_error.h>

#define BODY_BYTES_MAX 4096

/* Returns the procedure number of a message kind. */
uint32_t claim_codec_procedure(enum claim_message_kind kind)
{
	return PROCEDURE_CLAIMS_FIRST + (uint32_t)kind;
}

static claim_wire_key key_to_wire(struct hash128 key)
{
	return (claim_wire_key){.high = key.high, .low = key.low};
}

static struct hash128 key_from_wire(const claim_wire_key *wire)
{
	return (struct hash128){.high = wire->high, .low = wire->low};
}

static claim_wire_token token_to_wire(struct claim_token token)
{
	return (claim_wire_token){.node_id = token.node_id,
				  .request_id = token.request_id};
}

static struct claim_token token_from_wire(const claim_wire_token *wire)
{
	return (struct claim_token){.node_id = wire->node_id,
				    .request_id = wire->request_id};
}

static bool encode_key(XDR *xdrs, const struct claim_message *message)
{
	claim_wire_key_message wire = {
		.format_version = CLAIM_FORMAT_VERSION,
		.epoch = message->epoch,
		.key = key_to_wire(message->key),
		.token = token_to_wire(message->token),
		.verdict = (u_int)message->verdict,
	};

	return xdr_claim_wire_key_message(xdrs, &wire);
}

static bool encode_page(XDR *xdrs, const struct claim_message *message)
{
	claim_wire_entry entries[CLAIM_PAGE_ENTRIES_MAX] = {0};
	claim_wire_page_message wire = {
		.format_version = CLAIM_FORMAT_VERSION,
		.epoch = message->epoch,
		.step = message->token.request_id,
		.cursor = message->cursor,
		.is_last = message->is_last,
		.entries = {message->entry_count, entries},
	};

	for (uint32_t i = 0; i < message->entry_count; i++) {
		entries[i].key = key_to_wire(message->entries[i].key);
		entries[i].token = token_to_wire(message->entries[i].token);
		entries[i].age_ms = message->entries[i].age_ms;
	}
	return xdr_claim_wire_page_message(xdrs, &wire);
}

static bool encode_probe(XDR *xdrs, const struct claim_message *message)
{
	claim_wire_probe_message wire = {
		.format_version = CLAIM_FORMAT_VERSION,
		.epoch = message->epoch,
		.sent_ms = message->sent_ms,
	};

	return xdr_claim_wire_probe_message(xdrs, &wire);
}

static void members_to_wire(claim_wire_member *wire,
			    const struct roster_epoch *epoch)
{
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		wire[i].node_id = epoch->members[i].node_id;
		wire[i].zone_id = epoch->members[i].zone_id;
	}
}

static bool encode_roster(XDR *xdrs, const struct claim_message *message)
{
	const struct roster *roster = &message->roster;
	claim_wire_member members[ROSTER_EPOCHS_MAX][ROSTER_MEMBERS_MAX];
	claim_wire_epoch epochs[ROSTER_EPOCHS_MAX];
	claim_wire_roster_message wire = {
		.format_version = CLAIM_FORMAT_VERSION,
		.epoch = roster->epoch,
		.epochs = {roster->epoch_count, epochs},
	};

	for (uint32_t i = 0; i < roster->epoch_count; i++) {
		members_to_wire(members[i], &roster->epochs[i]);
		epochs[i].members.members_val = members[i];
		epochs[i].members.members_len = roster->epochs[i].member_count;
	}
	return xdr_claim_wire_roster_message(xdrs, &wire);
}

static bool decode_key(XDR *xdrs, struct claim_message *message,
		       uint32_t *version)
{
	claim_wire_key_message wire = {0};

	if (!xdr_claim_wire_key_message(xdrs, &wire) ||
	    wire.verdict >= CLAIM_VERDICT_COUNT)
		return false;
	*version = wire.format_version;
	message->epoch = wire.epoch;
	message->key = key_from_wire(&wire.key);
	message->token = token_from_wire(&wire.token);
	message->verdict = (enum claim_verdict)wire.verdict;
	return true;
}

static void entries_from_wire(struct claim_message *message,
			      const claim_wire_page_message *wire)
{
	message->entry_count = wire->entries.entries_len;
	for (uint32_t i = 0; i < message->entry_count; i++) {
		const claim_wire_entry *entry = &wire->entries.entries_val[i];

		message->entries[i].key = key_from_wire(&entry->key);
		message->entries[i].token = token_from_wire(&entry->token);
		message->entries[i].age_ms = entry->age_ms;
	}
}

static bool decode_page(XDR *xdrs, struct claim_message *message,
			uint32_t *version)
{
	claim_wire_page_message wire = {0};
	bool is_decoded = xdr_claim_wire_page_message(xdrs, &wire);

	if (is_decoded) {
		*version = wire.format_version;
		message->epoch = wire.epoch;
		message->token.request_id = wire.step;
		message->cursor = wire.cursor;
		message->is_last = wire.is_last != 0;
		entries_from_wire(message, &wire);
	}
	xdr_free((xdrproc_t)(void (*)(void))xdr_claim_wire_page_message, &wire);
	return is_decoded;
}

static bool decode_probe(XDR *xdrs, struct claim_message *message,
			 uint32_t *version)
{
	claim_wire_probe_message wire = {0};

	if (!xdr_claim_wire_probe_message(xdrs, &wire))
		return false;
	*version = wire.format_version;
	message->epoch = wire.epoch;
	message->sent_ms = wire.sent_ms;
	return true;
}

static void epoch_from_wire(struct roster_epoch *epoch,
			    const claim_wire_epoch *wire)
{
	epoch->member_count = wire->members.members_len;
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		epoch->members[i].node_id =
			wire->members.members_val[i].node_id;
		epoch->members[i].zone_id =
			wire->members.members_val[i].zone_id;
	}
}

/*
 * Returns whether a roster has at least one epoch, members in each epoch, and
 * no more epochs than the number of its newest one, as epochs count from 1.
 */
static bool is_valid_roster(const struct roster *roster)
{
	if (roster->epoch_count == 0 || roster->epoch_count > roster->epoch)
		return false;
	for (uint32_t i = 0; i < roster->epoch_count; i++) {
		if (roster->epochs[i].member_count == 0)
			return false;
	}
	return true;
}

static bool decode_roster(XDR *xdrs, struct claim_message *message,
			  uint32_t *version)
{
	claim_wire_roster_message wire = {0};
	bool is_decoded = xdr_claim_wire_roster_message(xdrs, &wire);

	if (is_decoded) {
		*version = wire.format_version;
		message->epoch = wire.epoch;
		message->roster.epoch = wire.epoch;
		message->roster.epoch_count = wire.epochs.epochs_len;
		for (uint32_t i = 0; i < message->roster.epoch_count; i++)
			epoch_from_wire(&message->roster.epochs[i],
					&wire.epochs.epochs_val[i]);
	}
	xdr_free((xdrproc_t)(void (*)(void))xdr_claim_wire_roster_message,
		 &wire);
	return is_decoded && is_valid_roster(&message->roster);
}

/* The body codec of each message kind. */
static const struct {
	bool (*encode)(XDR *xdrs, const struct claim_message *message);
	bool (*decode)(XDR *xdrs, struct claim_message *message,
		       uint32_t *version);
} body_codecs[CLAIM_MESSAGE_KIND_COUNT] = {
	[CLAIM_MESSAGE_REQUEST] = {encode_key, decode_key},
	[CLAIM_MESSAGE_VERDICT] = {encode_key, decode_key},
	[CLAIM_MESSAGE_RELEASE] = {encode_key, decode_key},
	[CLAIM_MESSAGE_FETCH] = {encode_page, decode_page},
	[CLAIM_MESSAGE_PAGE] = {encode_page, decode_page},
	[CLAIM_MESSAGE_PROBE] = {encode_probe, decode_probe},
	[CLAIM_MESSAGE_PROBE_REPLY] = {encode_probe, decode_probe},
	[CLAIM_MESSAGE_ROSTER] = {encode_roster, decode_roster},
};

static bool fail(GError **error, enum wire_error code, const char *text)
{
	g_set_error_literal(error, WIRE_ERROR, code, text);
	return false;
}

/*
 * Encodes the body of a message. Free the bytes with g_byte_array_unref. Fails
 * with WIRE_ERROR_TOO_LARGE.
 */
GByteArray *claim_codec_encode(const struct claim_message *message,
			       GError **error)
{
	char bytes[BODY_BYTES_MAX];
	GByteArray *encoded;
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (!body_codecs[message->kind].encode(&xdrs, message)) {
		fail(error, WIRE_ERROR_TOO_LARGE,
		     "claim message body too large");
		return NULL;
	}
	encoded = g_byte_array_new();
	g_byte_array_append(encoded, (const guint8 *)bytes, xdr_getpos(&xdrs));
	return encoded;
}

/*
 * Decodes the body of a message. Fields appended by later versions are ignored.
 * Fails with WIRE_ERROR_VERSION for an unknown procedure or a format version
 * below 1, and with WIRE_ERROR_MALFORMED if the body cannot be decoded.
 */
bool claim_codec_decode(struct claim_message *message, uint32_t procedure,
			const uint8_t *bytes, uint32_t length_bytes,
			GError **error)
{
	uint32_t version = 0;
	XDR xdrs;

	memset(message, 0, sizeof(*message));
	if (procedure < PROCEDURE_CLAIMS_FIRST ||
	    procedure - PROCEDURE_CLAIMS_FIRST >= CLAIM_MESSAGE_KIND_COUNT)
		return fail(error, WIRE_ERROR_VERSION,
			    "unknown claim procedure");
	message->kind =
		(enum claim_message_kind)(procedure - PROCEDURE_CLAIMS_FIRST);
	xdrmem_create(&xdrs, (char *)bytes, length_bytes, XDR_DECODE);
	if (!body_codecs[message->kind].decode(&xdrs, message, &version))
		return fail(error, WIRE_ERROR_MALFORMED,
			    "malformed claim message");
	if (version < CLAIM_FORMAT_VERSION)
		return fail(error, WIRE_ERROR_VERSION,
			    "unsupported claim message format version");
	return true;
}
