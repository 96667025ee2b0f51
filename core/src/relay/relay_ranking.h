#ifndef RELAY_RANKING_H
#define RELAY_RANKING_H

#include <core/relay_sources.h>

/*
 * A node to read from. It is in backoff until backoff_until_ms, after
 * failure_count failures in a row.
 */
struct relay_candidate {
	struct relay_peer peer;
	int64_t backoff_until_ms;
	uint32_t failure_count;
};

/* The nodes that a node reads from, by its role. */
enum relay_group {
	RELAY_GROUP_READERS,
	RELAY_GROUP_ZONE_RELAYS,
};

/*
 * The other nodes in the order of their rank: by bandwidth, highest first, then
 * by a hash of the node's id. All nodes use the same order, so nodes that read
 * only from those ahead of them never read from each other in a circle.
 */
struct relay_ranking;

struct relay_ranking *relay_ranking_new(const struct relay_peer *self);
void relay_ranking_free(struct relay_ranking *ranking);
void relay_ranking_set(struct relay_ranking *ranking, const GArray *peers);
uint32_t relay_ranking_count(const struct relay_ranking *ranking);
bool relay_ranking_is_self_listed(const struct relay_ranking *ranking);
bool relay_ranking_is_tree(const struct relay_ranking *ranking);
enum relay_role relay_ranking_role(const struct relay_ranking *ranking,
				   int64_t now_ms);
struct relay_candidate *relay_ranking_pick(const struct relay_ranking *ranking,
					   enum relay_group group,
					   int64_t now_ms);
struct relay_candidate *relay_ranking_find(const struct relay_ranking *ranking,
					   const struct endpoint *endpoint);
bool relay_ranking_is_ahead(const struct relay_ranking *ranking,
			    const struct relay_candidate *candidate);
void relay_candidate_back_off(struct relay_candidate *candidate,
			      uint32_t first_ms, int64_t now_ms);
bool relay_candidate_is_usable(const struct relay_candidate *candidate,
			       int64_t now_ms);

#endif
