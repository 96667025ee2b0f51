#ifndef CORE_RELAY_SOURCES_H
#define CORE_RELAY_SOURCES_H

#include <core/relay_peer.h>
#include <glib.h>

enum relay_source_kind {
	RELAY_SOURCE_NONE,
	RELAY_SOURCE_STORE,
	RELAY_SOURCE_PEER,
};

/*
 * Where to read the store's content from: the store itself, or the node at
 * endpoint. For RELAY_SOURCE_NONE, choose again at retry_at_ms.
 */
struct relay_source {
	enum relay_source_kind kind;
	struct endpoint endpoint;
	int64_t retry_at_ms;
};

/*
 * Chooses the source from which a node reads the store's content. A few nodes,
 * the readers, read the store itself; the others, their followers, read from a
 * reader, and from the store if several readers in a row fail. A node that does
 * not know the other nodes yet asks seeds, which are addresses from its
 * settings and of nodes that have announced themselves.
 */
struct relay_sources;

struct relay_sources *relay_sources_new(uint64_t self_id, GRand *random);
void relay_sources_free(struct relay_sources *sources);
void relay_sources_set_peers(struct relay_sources *sources,
			     const GArray *peers);
void relay_sources_set_seeds(struct relay_sources *sources,
			     const GArray *endpoints);
void relay_sources_add_seed(struct relay_sources *sources,
			    const struct endpoint *endpoint);
struct relay_source relay_sources_next(struct relay_sources *sources,
				       int64_t now_ms);
void relay_sources_record_failure(struct relay_sources *sources,
				  int64_t now_ms);
void relay_sources_record_success(struct relay_sources *sources);
bool relay_sources_is_listed(const struct relay_sources *sources);
bool relay_sources_is_reader(const struct relay_sources *sources,
			     int64_t now_ms);

#endif
