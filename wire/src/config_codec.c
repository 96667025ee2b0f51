#include <wire/config_codec.h>

#include "config_roster_xdr.h"

#include <config.h>
#include <string.h>
#include <wire/wire_error.h>

#define BODY_BYTES_MAX (1024 * 1024)

/* The XDR function and the size of the generated struct of a message kind. */
struct config_body_codec {
	enum config_kind kind;
	xdrproc_t xdr_proc;
	size_t body_bytes;
};

static const struct config_body_codec body_codecs[CONFIG_KIND_COUNT] = {
	[CONFIG_DIGEST] = {CONFIG_DIGEST, (xdrproc_t)xdr_xdr_config_digest,
			   sizeof(struct xdr_config_digest)},
	[CONFIG_PULL] = {CONFIG_PULL, (xdrproc_t)xdr_xdr_config_pull,
			 sizeof(struct xdr_config_pull)},
	[CONFIG_DELTA] = {CONFIG_DELTA, (xdrproc_t)xdr_xdr_config_delta,
			  sizeof(struct xdr_config_delta)},
	[CONFIG_ROSTER] = {CONFIG_ROSTER, (xdrproc_t)xdr_xdr_config_roster,
			   sizeof(struct xdr_config_roster)},
};

/* Returns the procedure number of a message kind. */
uint32_t config_codec_procedure(enum config_kind kind)
{
	return PROCEDURE_CONFIG_FIRST + (uint32_t)kind;
}

static char *text_or_empty(char *text)
{
	return text ? text : (char *)"";
}

/* Points to the strings and hashes of the line instead of copying them. */
static void line_to_xdr(struct xdr_config_line *xdr, struct rules_line *line)
{
	xdr->name = line->name;
	xdr->generation = line->generation;
	xdr->change_id = line->change_id;
	xdr->form = line->form;
	xdr->is_deleted = line->is_deleted;
	xdr->text = text_or_empty(line->text);
	xdr->earlier_text = text_or_empty(line->previous_text);
	xdr->former.former_len = line->previous_hash_count;
	xdr->former.former_val = (u_quad_t *)line->previous_hashes;
	xdr->extra = text_or_empty(line->extra);
}

static void state_to_xdr(struct xdr_config_state *xdr,
			 const struct config_message *message)
{
	xdr->body_version = CONFIG_FORMAT_VERSION;
	xdr->revision = message->revision;
	xdr->digest = message->digest;
	xdr->held_count = message->held_line_count;
	xdr->is_known = message->is_known;
	xdr->roster_epoch = message->roster_epoch;
	xdr->store_age_ms = message->since_store_read_ms;
}

/* The generated structs of all message kinds; each starts with state. */
union config_body {
	struct xdr_config_state state;
	struct xdr_config_digest digest;
	struct xdr_config_pull pull;
	struct xdr_config_delta delta;
	struct xdr_config_roster roster;
};

static void message_to_xdr(union config_body *body,
			   const struct config_message *message)
{
	state_to_xdr(&body->state, message);
	if (message->kind == CONFIG_DIGEST)
		body->digest.wants_reply = message->wants_reply;
	if (message->kind == CONFIG_PULL)
		body->pull.since = message->since_revision;
	if (message->kind == CONFIG_ROSTER)
		config_roster_to_xdr(&body->roster, message->roster);
	if (message->kind != CONFIG_DELTA)
		return;
	body->delta.lines.lines_len = message->lines->len;
	body->delta.lines.lines_val =
		g_new0(struct xdr_config_line, message->lines->len);
	for (guint i = 0; i < message->lines->len; i++)
		line_to_xdr(&body->delta.lines.lines_val[i],
			    g_ptr_array_index(message->lines, i));
}

/*
 * Encodes the body of a message. Free the bytes with g_byte_array_unref. Fails
 * with WIRE_ERROR_TOO_LARGE.
 */
GByteArray *config_codec_encode(const struct config_message *message,
				GError **error)
{
	const struct config_body_codec *codec = &body_codecs[message->kind];
	union config_body body;
	GByteArray *bytes = NULL;
	unsigned long size;
	XDR xdr;

	memset(&body, 0, sizeof(body));
	message_to_xdr(&body, message);
	size = xdr_sizeof(codec->xdr_proc, &body);
	if (size > 0 && size <= BODY_BYTES_MAX) {
		bytes = g_byte_array_sized_new((guint)size);
		g_byte_array_set_size(bytes, (guint)size);
		xdrmem_create(&xdr, (char *)bytes->data, bytes->len,
			      XDR_ENCODE);
		codec->xdr_proc(&xdr, &body);
		xdr_destroy(&xdr);
	} else {
		g_set_error(
			error, WIRE_ERROR, WIRE_ERROR_TOO_LARGE,
			"cannot encode configuration message body of %lu bytes",
			size);
	}
	if (message->kind == CONFIG_DELTA)
		g_free(body.delta.lines.lines_val);
	if (message->kind == CONFIG_ROSTER)
		config_roster_free_xdr(&body.roster);
	return bytes;
}

static char *copy_or_null(const char *text)
{
	return text && *text ? g_strdup(text) : NULL;
}

static struct rules_line *line_from_xdr(const struct xdr_config_line *xdr)
{
	struct rules_line *line = rules_line_new(xdr->name, xdr->text);

	line->generation = xdr->generation;
	line->change_id = xdr->change_id;
	line->form = xdr->form;
	line->is_deleted = xdr->is_deleted;
	line->previous_text = copy_or_null(xdr->earlier_text);
	line->extra = copy_or_null(xdr->extra);
	line->previous_hash_count = xdr->former.former_len;
	for (uint32_t i = 0; i < line->previous_hash_count; i++)
		line->previous_hashes[i] = xdr->former.former_val[i];
	return line;
}

static struct config_message *message_from_xdr(enum config_kind kind,
					       const union config_body *body)
{
	struct config_message *message = config_message_new(kind);

	message->revision = body->state.revision;
	message->digest = body->state.digest;
	message->held_line_count = body->state.held_count;
	message->is_known = body->state.is_known;
	message->roster_epoch = body->state.roster_epoch;
	message->since_store_read_ms = body->state.store_age_ms;
	if (kind == CONFIG_DIGEST)
		message->wants_reply = body->digest.wants_reply;
	if (kind == CONFIG_PULL)
		message->since_revision = body->pull.since;
	if (kind == CONFIG_ROSTER)
		message->roster = config_roster_from_xdr(&body->roster);
	for (u_int i = 0;
	     kind == CONFIG_DELTA && i < body->delta.lines.lines_len; i++)
		g_ptr_array_add(message->lines,
				line_from_xdr(&body->delta.lines.lines_val[i]));
	return message;
}

/*
 * Decodes the body of a message. Fields appended by later versions are ignored.
 * Free the message with config_message_free. Fails with WIRE_ERROR_MALFORMED,
 * also for an unknown procedure or a format version below 1.
 */
struct config_message *config_codec_decode(uint32_t procedure,
					   const uint8_t *bytes,
					   uint32_t length_bytes,
					   GError **error)
{
	uint32_t kind = procedure - PROCEDURE_CONFIG_FIRST;
	union config_body body;
	struct config_message *message = NULL;
	XDR xdr;

	memset(&body, 0, sizeof(body));
	xdrmem_create(&xdr, (char *)bytes, length_bytes, XDR_DECODE);
	if (kind < CONFIG_KIND_COUNT &&
	    body_codecs[kind].xdr_proc(&xdr, &body) &&
	    body.state.body_version >= CONFIG_FORMAT_VERSION)
		message = message_from_xdr((enum config_kind)kind, &body);
	if (message && kind == CONFIG_ROSTER && !message->roster)
		g_clear_pointer(&message, config_message_free);
	if (!message)
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
			    "malformed configuration message, procedure %u",
			    procedure);
	xdr_destroy(&xdr);
	if (kind < CONFIG_KIND_COUNT)
		xdr_free(body_codecs[kind].xdr_proc, &body);
	return message;
}
