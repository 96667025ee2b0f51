#ifndef CORE_RELAY_SOURCES_H
#define CORE_RELAY_SOURCES_H

#include <core/relay_peer.h>
#include <glib.h>

enum relay_source_kind {
	RELAY_SOURCE_NONE,
	RELAY_SOURCE_STORE,
	RELAY_SOURCE_PEER,
};

/* Where to read the store's content; if nowhere now, retry at retry_ms. */
struct relay_source {
	enum relay_source_kind kind;
	struct endpoint endpoint;
	int64_t retry_ms;
};

/*
 * Chooses where a node reads the store's content: a few nodes read the store
 * itself, the others read from one of these, and fall back to the store when
 * these fail.
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
