#ifndef WIRE_CLAIM_CODEC_H
#define WIRE_CLAIM_CODEC_H

#include <core/claim_message.h>
#include <glib.h>

#define CLAIM_FORMAT_VERSION 1

uint32_t claim_codec_procedure(enum claim_message_kind kind);
GByteArray *claim_codec_encode(const struct claim_message *message,
			       GError **error);
bool claim_codec_decode(struct claim_message *message, uint32_t procedure,
			const uint8_t *bytes, uint32_t length_bytes,
			GError **error);

#endif
