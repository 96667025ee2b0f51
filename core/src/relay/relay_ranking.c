#include "relay_ranking.h"

#include <core/node.h>

/* At least two nodes read the store, so that updates go on if one fails. */
#define READER_COUNT 2

/*
 * A node that other nodes read from has at most about this many followers, and
 * fewer on a slower link: sending them a configuration of 60 KB takes about 120
 * ms at 200 Mbit/s.
 */
#define FOLLOWER_COUNT_MAX 48
#define FULL_LINK_MBPS 200

/* A zone has at least two relays, in case one fails. */
#define ZONE_RELAY_COUNT_MIN 2

/* A node that lost its own source recovers within seconds. */
#define BACKOFF_MAX_MS 4000

/*
 * candidates excludes this node; self_position is the number of candidates
 * ranked ahead of it, and zone_count that of candidates in its zone.
 */
struct relay_ranking {
	struct relay_peer self;
	GArray *candidates;
	uint32_t self_position;
	uint32_t zone_count;
	bool is_self_listed;
};

/* Creates a ranking without other nodes. Free it with relay_ranking_free. */
struct relay_ranking *relay_ranking_new(const struct relay_peer *self)
{
	struct relay_ranking *ranking = g_new0(struct relay_ranking, 1);

	ranking->self = *self;
	ranking->candidates =
		g_array_new(FALSE, TRUE, sizeof(struct relay_candidate));
	return ranking;
}

/* Frees the ranking; NULL is allowed. */
void relay_ranking_free(struct relay_ranking *ranking)
{
	if (!ranking)
		return;
	g_array_free(ranking->candidates, TRUE);
	g_free(ranking);
}

static struct relay_candidate *at(const struct relay_ranking *ranking,
				  uint32_t position)
{
	return &g_array_index(ranking->candidates, struct relay_candidate,
			      position);
}

static bool is_ranked_before(const struct relay_peer *left,
			     const struct relay_peer *right)
{
	if (left->link_mbps != right->link_mbps)
		return left->link_mbps > right->link_mbps;
	return node_rendezvous_score(left->node_id, 0) >
	       node_rendezvous_score(right->node_id, 0);
}

static gint compare_rank(gconstpointer a, gconstpointer b)
{
	const struct relay_candidate *left = a;
	const struct relay_candidate *right = b;

	return is_ranked_before(&left->peer, &right->peer) ? -1 : 1;
}

static const struct relay_candidate *
find_by_id(const struct relay_ranking *ranking, uint64_t node_id)
{
	for (guint i = 0; i < ranking->candidates->len; i++) {
		if (at(ranking, i)->peer.node_id == node_id)
			return at(ranking, i);
	}
	return NULL;
}

static void add(struct relay_ranking *ranking, GArray *candidates,
		const struct relay_peer *peer)
{
	const struct relay_candidate *previous =
		find_by_id(ranking, peer->node_id);
	struct relay_candidate candidate = {.peer = *peer};

	if (previous) {
		candidate.backoff_until_ms = previous->backoff_until_ms;
		candidate.failure_count = previous->failure_count;
	}
	g_array_append_val(candidates, candidate);
}

static void update_counts(struct relay_ranking *ranking)
{
	ranking->self_position = 0;
	ranking->zone_count = 0;
	for (guint i = 0; i < ranking->candidates->len; i++) {
		const struct relay_peer *peer = &at(ranking, i)->peer;

		ranking->self_position +=
			is_ranked_before(peer, &ranking->self);
		ranking->zone_count += peer->zone_id == ranking->self.zone_id;
	}
}

/*
 * Replaces the nodes by an array of struct relay_peer, which may include this
 * node. Nodes that stay keep their backoff.
 */
void relay_ranking_set(struct relay_ranking *ranking, const GArray *peers)
{
	GArray *candidates =
		g_array_new(FALSE, TRUE, sizeof(struct relay_candidate));

	ranking->is_self_listed = false;
	for (guint i = 0; i < peers->len; i++) {
		const struct relay_peer *peer =
			&g_array_index(peers, struct relay_peer, i);

		if (peer->node_id == ranking->self.node_id)
			ranking->is_self_listed = true;
		else
			add(ranking, candidates, peer);
	}
	g_array_sort(candidates, compare_rank);
	g_array_free(ranking->candidates, TRUE);
	ranking->candidates = candidates;
	update_counts(ranking);
}

/* Returns the number of other nodes. */
uint32_t relay_ranking_count(const struct relay_ranking *ranking)
{
	return ranking->candidates->len;
}

/* Returns whether the nodes included this one. */
bool relay_ranking_is_self_listed(const struct relay_ranking *ranking)
{
	return ranking->is_self_listed;
}

/* Returns how many followers the node of the highest rank can have. */
static uint32_t follower_count_max(const struct relay_ranking *ranking)
{
	uint32_t link_mbps = ranking->self.link_mbps;

	if (ranking->self_position > 0)
		link_mbps = at(ranking, 0)->peer.link_mbps;
	return CLAMP(link_mbps * FOLLOWER_COUNT_MAX / FULL_LINK_MBPS, 1,
		     FOLLOWER_COUNT_MAX);
}

/* Returns whether there are too many nodes for all to read from the readers. */
bool relay_ranking_is_tree(const struct relay_ranking *ranking)
{
	return follower_count_max(ranking) == FOLLOWER_COUNT_MAX &&
	       ranking->candidates->len >= READER_COUNT * FOLLOWER_COUNT_MAX;
}

/* A tree needs fast links; with slow ones there are more readers instead. */
static uint32_t reader_count(const struct relay_ranking *ranking)
{
	uint32_t node_count = ranking->candidates->len + 1;
	uint32_t count = node_count / (follower_count_max(ranking) + 1);

	return relay_ranking_is_tree(ranking) ? READER_COUNT
					      : MAX(count, READER_COUNT);
}

/* Returns whether the candidate is not in backoff. */
bool relay_candidate_is_usable(const struct relay_candidate *candidate,
			       int64_t now_ms)
{
	return now_ms >= candidate->backoff_until_ms;
}

/* Starts a backoff, which doubles with each failure in a row to a maximum. */
void relay_candidate_back_off(struct relay_candidate *candidate,
			      uint32_t first_ms, int64_t now_ms)
{
	uint32_t backoff_ms = first_ms;

	for (uint32_t i = 0; i < candidate->failure_count; i++)
		backoff_ms = MIN(2 * backoff_ms, BACKOFF_MAX_MS);
	candidate->backoff_until_ms = now_ms + backoff_ms;
	if (backoff_ms < BACKOFF_MAX_MS)
		candidate->failure_count++;
}

static bool is_in_group(const struct relay_ranking *ranking,
			const struct relay_candidate *candidate,
			enum relay_group group, int64_t now_ms)
{
	return relay_candidate_is_usable(candidate, now_ms) &&
	       (group == RELAY_GROUP_READERS ||
		candidate->peer.zone_id == ranking->self.zone_id);
}

static uint32_t group_size(const struct relay_ranking *ranking,
			   enum relay_group group)
{
	uint32_t count =
		(ranking->zone_count + FOLLOWER_COUNT_MAX) / FOLLOWER_COUNT_MAX;

	if (group == RELAY_GROUP_READERS)
		return reader_count(ranking);
	return MAX(count, ZONE_RELAY_COUNT_MIN);
}

/* Returns whether this node belongs to the group instead of a later one. */
static bool is_self_in_group(const struct relay_ranking *ranking,
			     enum relay_group group, int64_t now_ms)
{
	uint32_t ahead_count = 0;

	for (uint32_t i = 0; i < ranking->self_position; i++)
		ahead_count +=
			is_in_group(ranking, at(ranking, i), group, now_ms);
	return ahead_count < group_size(ranking, group);
}

/*
 * Returns this node's role: it is a reader or relay if it is among the first
 * nodes by rank, of all or of its zone, not counting those in backoff.
 */
enum relay_role relay_ranking_role(const struct relay_ranking *ranking,
				   int64_t now_ms)
{
	if (is_self_in_group(ranking, RELAY_GROUP_READERS, now_ms))
		return RELAY_ROLE_READER;
	if (relay_ranking_is_tree(ranking) &&
	    is_self_in_group(ranking, RELAY_GROUP_ZONE_RELAYS, now_ms))
		return RELAY_ROLE_RELAY;
	return RELAY_ROLE_FOLLOWER;
}

/*
 * Picks a node of a group by rendezvous hashing, which distributes the
 * followers evenly. Returns NULL if all are in backoff.
 */
struct relay_candidate *relay_ranking_pick(const struct relay_ranking *ranking,
					   enum relay_group group,
					   int64_t now_ms)
{
	struct relay_candidate *best = NULL;
	uint64_t best_score = 0;
	uint32_t found_count = 0;

	for (guint i = 0; i < ranking->candidates->len &&
			  found_count < group_size(ranking, group);
	     i++) {
		struct relay_candidate *candidate = at(ranking, i);
		uint64_t score;

		if (!is_in_group(ranking, candidate, group, now_ms))
			continue;
		found_count++;
		score = node_rendezvous_score(candidate->peer.node_id,
					      ranking->self.node_id);
		if (!best || score > best_score) {
			best = candidate;
			best_score = score;
		}
	}
	return best;
}

/* Returns the node with this address, or NULL. */
struct relay_candidate *relay_ranking_find(const struct relay_ranking *ranking,
					   const struct endpoint *endpoint)
{
	for (guint i = 0; i < ranking->candidates->len; i++) {
		if (endpoint_equal(&at(ranking, i)->peer.endpoint, endpoint))
			return at(ranking, i);
	}
	return NULL;
}

/* Returns whether a node of the ranking is ahead of this one. */
bool relay_ranking_is_ahead(const struct relay_ranking *ranking,
			    const struct relay_candidate *candidate)
{
	return is_ranked_before(&candidate->peer, &ranking->self);
}
