#ifndef WIRE_FLOW_CODEC_H
#define WIRE_FLOW_CODEC_H

#include <core/flow_message.h>
#include <glib.h>

uint32_t flow_codec_procedure(void);
GByteArray *flow_codec_encode(const struct flow_message *message,
			      GError **error);
bool flow_codec_decode(struct flow_message *message, const uint8_t *bytes,
		       uint32_t length_bytes, GError **error);

#endif
