#ifndef WIRE_CONFIG_CODEC_H
#define WIRE_CONFIG_CODEC_H

#include <core/config_message.h>
#include <wire/procedure.h>

#define CONFIG_FORMAT_VERSION 1

/* Procedure numbers of configuration messages, in the order of config_kind. */
enum config_procedure {
	PROCEDURE_CONFIG_DIGEST = PROCEDURE_CONFIG_FIRST,
	PROCEDURE_CONFIG_PULL,
	PROCEDURE_CONFIG_DELTA,
	PROCEDURE_CONFIG_ROSTER,
};

uint32_t config_codec_procedure(enum config_kind kind);
GByteArray *config_codec_encode(const struct config_message *message,
				GError **error);
struct config_message *config_codec_decode(uint32_t procedure,
					   const uint8_t *bytes,
					   uint32_t length_bytes,
					   GError **error);

#endif
