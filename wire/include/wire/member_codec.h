#ifndef WIRE_MEMBER_CODEC_H
#define WIRE_MEMBER_CODEC_H

#include <core/member_message.h>
#include <glib.h>
#include <stdbool.h>

#define MEMBER_FORMAT_VERSION 1

uint32_t member_codec_procedure(enum member_message_kind kind);
GByteArray *member_codec_encode(const struct member_message *message,
				GError **error);
bool member_codec_decode(struct member_message *message, uint32_t procedure,
			 const uint8_t *bytes, uint32_t length_bytes,
			 GError **error);

#endif
