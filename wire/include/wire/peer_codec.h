#ifndef WIRE_PEER_CODEC_H
#define WIRE_PEER_CODEC_H

#include <core/relay_peer.h>

/* A node registers itself in the store under this prefix and its name. */
#define PEER_KEY_PREFIX "shallotstream/nodes/"

char *peer_codec_key(const char *node_name);
char *peer_codec_encode(const struct endpoint *endpoint, const char *zone,
			uint32_t link_mbps);
bool peer_codec_decode(struct relay_peer *peer, const char *key,
		       const char *value, uint32_t value_bytes);

#endif
