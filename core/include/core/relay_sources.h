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
 * Readers read the store itself. In a large fleet, relays read from a reader,
 * and followers from a relay of their zone; in a small one, all other nodes are
 * followers and read from a reader.
 */
enum relay_role {
	RELAY_ROLE_READER,
	RELAY_ROLE_RELAY,
	RELAY_ROLE_FOLLOWER,
};

/* How a source failed. */
enum relay_failure {
	/* It replied with an error, or refused or closed the connection. */
	RELAY_FAILURE_REFUSED,
	/* It did not reply in time. */
	RELAY_FAILURE_SILENT,
};

/*
 * Where to read the store's content from: the store itself, or the node at
 * endpoint. may_serve: other nodes may read from this one while it reads from
 * there. For RELAY_SOURCE_NONE, choose again at retry_at_ms.
 */
struct relay_source {
	enum relay_source_kind kind;
	struct endpoint endpoint;
	bool may_serve;
	int64_t retry_at_ms;
};

/*
 * Chooses the source from which a node reads the store's content, by its role,
 * and the store if several nodes in a row fail. A node that does not know the
 * other nodes yet asks seeds, which are addresses from its settings and of
 * nodes that have announced themselves.
 */
struct relay_sources;

struct relay_sources *relay_sources_new(const struct relay_peer *self,
					GRand *random);
void relay_sources_free(struct relay_sources *sources);
void relay_sources_set_peers(struct relay_sources *sources,
			     const GArray *peers);
void relay_sources_set_seeds(struct relay_sources *sources,
			     const GArray *endpoints);
void relay_sources_add_seed(struct relay_sources *sources,
			    const struct endpoint *endpoint);
struct relay_source relay_sources_next(struct relay_sources *sources,
				       bool needs_snapshot, int64_t now_ms);
void relay_sources_record_failure(struct relay_sources *sources,
				  enum relay_failure failure, int64_t now_ms);
void relay_sources_record_success(struct relay_sources *sources);
bool relay_sources_is_listed(const struct relay_sources *sources);
enum relay_role relay_sources_role(const struct relay_sources *sources,
				   int64_t now_ms);
bool relay_sources_should_switch(const struct relay_sources *sources,
				 int64_t now_ms);

#endif
