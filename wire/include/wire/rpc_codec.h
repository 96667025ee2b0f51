#ifndef WIRE_RPC_CODEC_H
#define WIRE_RPC_CODEC_H

#include <stdbool.h>
#include <wire/key_ring.h>
#include <wire/rpc_message.h>

#define RPC_HEADER_BYTES 76
#define RPC_DATAGRAM_BYTES_MAX 1400
#define RPC_BODY_BYTES_MAX (1280 * 1024)
#define RPC_RECORD_BYTES_MAX (RPC_BODY_BYTES_MAX + RPC_HEADER_BYTES)

GByteArray *rpc_codec_encode(const struct rpc_message *message,
			     const struct key_ring *ring, GError **error);
bool rpc_codec_decode(struct rpc_message *message, const uint8_t *bytes,
		      uint32_t length_bytes, const struct key_ring *ring,
		      GError **error);

#endif
