#include <core/relay_sources.h>

#include <core/node.h>

/*
 * Two nodes read the store, so that one may die without a gap, and more where
 * one would have more than 48 followers: a configuration of 60 KB for these
 * takes a link of 200 Mbit/s some 120 ms.
 */
#define READER_COUNT_LEAST 2
#define FOLLOWER_COUNT_MAX 48

/* Seeds of the settings and nodes that made themselves known. */
#define SEED_COUNT_MAX 16

/* Nodes that are asked in a row before the store is asked again. */
#define PEER_TRY_COUNT 2

/*
 * How long one that failed is left alone: a node that only lost
 * the store has it back soon, a store that refuses is asked more and more
 * seldom. A call to the store costs, one to a node does not.
 */
#define PEER_PAUSE_MS 1000
#define STORE_PAUSE_MS 150
#define STORE_PAUSE_MAX_MS 1500

struct candidate {
	struct relay_peer peer;
	int64_t paused_until_ms;
};

/* current is the address of the node in use, if one is. */
struct relay_sources {
	uint64_t self_id;
	GRand *random;
	GArray *peers;
	GArray *seeds;
	struct endpoint current;
	enum relay_source_kind current_kind;
	uint32_t peer_try_count;
	uint32_t store_pause_ms;
	int64_t store_paused_until_ms;
};

/* Makes a chooser that knows the store alone; random must outlive it. */
struct relay_sources *relay_sources_new(uint64_t self_id, GRand *random)
{
	struct relay_sources *sources = g_new0(struct relay_sources, 1);

	sources->self_id = self_id;
	sources->random = random;
	sources->peers = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	sources->seeds = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	sources->store_pause_ms = STORE_PAUSE_MS;
	return sources;
}

/* Frees it; NULL is allowed. */
void relay_sources_free(struct relay_sources *sources)
{
	if (!sources)
		return;
	g_array_free(sources->peers, TRUE);
	g_array_free(sources->seeds, TRUE);
	g_free(sources);
}

static uint64_t rank_of(const struct candidate *candidate)
{
	return node_rank_score(candidate->peer.node_id, 0);
}

static gint compare_rank(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->peer.link_mbps != right->peer.link_mbps)
		return left->peer.link_mbps < right->peer.link_mbps ? 1 : -1;
	return rank_of(left) < rank_of(right) ? 1 : -1;
}

static const struct candidate *find(const GArray *list, uint64_t node_id)
{
	for (guint i = 0; i < list->len; i++) {
		const struct candidate *candidate =
			&g_array_index(list, struct candidate, i);

		if (candidate->peer.node_id == node_id)
			return candidate;
	}
	return NULL;
}

/* Takes the nodes that the store lists, struct relay_peer, self included. */
void relay_sources_set_peers(struct relay_sources *sources, const GArray *peers)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct candidate));

	for (guint i = 0; i < peers->len; i++) {
		struct candidate candidate = {
			.peer = g_array_index(peers, struct relay_peer, i)};
		const struct candidate *known =
			find(sources->peers, candidate.peer.node_id);

		if (known)
			candidate.paused_until_ms = known->paused_until_ms;
		g_array_append_val(list, candidate);
	}
	g_array_sort(list, compare_rank);
	g_array_free(sources->peers, TRUE);
	sources->peers = list;
}

/* Takes addresses to ask before the store has listed any node. */
void relay_sources_set_seeds(struct relay_sources *sources,
			     const GArray *endpoints)
{
	for (guint i = 0; i < endpoints->len; i++) {
		struct candidate candidate = {
			.peer.endpoint =
				g_array_index(endpoints, struct endpoint, i)};

		g_array_append_val(sources->seeds, candidate);
	}
}

/* Tells whether the store's list of nodes has this one. */
bool relay_sources_is_listed(const struct relay_sources *sources)
{
	return find(sources->peers, sources->self_id) != NULL;
}

static bool is_seed(const struct relay_sources *sources,
		    const struct endpoint *endpoint)
{
	for (guint i = 0; i < sources->seeds->len; i++) {
		if (endpoint_equal(
			    &g_array_index(sources->seeds, struct candidate, i)
				     .peer.endpoint,
			    endpoint))
			return true;
	}
	return false;
}

/*
 * Takes the address of a node that has made itself known, to be asked as a
 * seed before the others.
 */
void relay_sources_add_seed(struct relay_sources *sources,
			    const struct endpoint *endpoint)
{
	struct candidate candidate = {.peer.endpoint = *endpoint};

	if (sources->seeds->len >= SEED_COUNT_MAX || is_seed(sources, endpoint))
		return;
	g_array_prepend_val(sources->seeds, candidate);
	sources->peer_try_count = 0;
}

static bool is_paused(const struct candidate *candidate, int64_t now_ms)
{
	return now_ms < candidate->paused_until_ms;
}

static uint32_t reader_count(const struct relay_sources *sources)
{
	uint32_t count = (sources->peers->len + FOLLOWER_COUNT_MAX - 1) /
			 FOLLOWER_COUNT_MAX;

	return MAX(count, READER_COUNT_LEAST);
}

/*
 * Tells whether this node is among the first that are not known to have
 * failed, and so reads the store.
 */
bool relay_sources_is_reader(const struct relay_sources *sources,
			     int64_t now_ms)
{
	uint32_t before_count = 0;

	for (guint i = 0; i < sources->peers->len; i++) {
		const struct candidate *candidate =
			&g_array_index(sources->peers, struct candidate, i);

		if (candidate->peer.node_id == sources->self_id)
			return before_count < reader_count(sources);
		if (!is_paused(candidate, now_ms))
			before_count++;
	}
	return true;
}

/* Of the first nodes each follower prefers another, so their work is even. */
static int32_t choose_peer(const struct relay_sources *sources,
			   const GArray *list, uint32_t count_max,
			   int64_t now_ms)
{
	int32_t best = -1;
	uint64_t best_score = 0;
	uint32_t seen_count = 0;

	for (guint i = 0; i < list->len && seen_count < count_max; i++) {
		const struct candidate *candidate =
			&g_array_index(list, struct candidate, i);
		uint64_t score = node_rank_score(candidate->peer.node_id,
						 sources->self_id);

		if (is_paused(candidate, now_ms) ||
		    candidate->peer.node_id == sources->self_id)
			continue;
		seen_count++;
		if (best < 0 || score > best_score) {
			best = (int32_t)i;
			best_score = score;
		}
	}
	return best;
}

static struct relay_source use_peer(struct relay_sources *sources,
				    const GArray *list, int32_t index)
{
	const struct candidate *candidate =
		&g_array_index(list, struct candidate, (guint)index);

	sources->current = candidate->peer.endpoint;
	sources->current_kind = RELAY_SOURCE_PEER;
	sources->peer_try_count++;
	return (struct relay_source){.kind = RELAY_SOURCE_PEER,
				     .endpoint = candidate->peer.endpoint};
}

static struct relay_source use_store(struct relay_sources *sources)
{
	sources->current_kind = RELAY_SOURCE_STORE;
	sources->peer_try_count = 0;
	return (struct relay_source){.kind = RELAY_SOURCE_STORE};
}

/* Seeds stand in for the list of nodes until there is one. */
static const GArray *peers_or_seeds(const struct relay_sources *sources)
{
	return sources->peers->len > 1 ? sources->peers : sources->seeds;
}

/* Chooses where to read next. */
struct relay_source relay_sources_next(struct relay_sources *sources,
				       int64_t now_ms)
{
	const GArray *list = peers_or_seeds(sources);
	bool is_store_paused = now_ms < sources->store_paused_until_ms;
	bool is_reader = relay_sources_is_reader(sources, now_ms);
	bool may_ask_peer = sources->peer_try_count < PEER_TRY_COUNT;
	int32_t peer = -1;

	if (may_ask_peer && (!is_reader || is_store_paused))
		peer = choose_peer(sources, list, reader_count(sources),
				   now_ms);
	if (peer >= 0)
		return use_peer(sources, list, peer);
	if (!is_store_paused)
		return use_store(sources);
	sources->current_kind = RELAY_SOURCE_NONE;
	return (struct relay_source){.kind = RELAY_SOURCE_NONE,
				     .retry_ms =
					     sources->store_paused_until_ms};
}

static void pause_store(struct relay_sources *sources, int64_t now_ms)
{
	uint32_t pause_ms = sources->store_pause_ms;

	pause_ms += (uint32_t)g_rand_int_range(sources->random, 0,
					       (gint32)pause_ms);
	sources->store_paused_until_ms = now_ms + pause_ms;
	sources->store_pause_ms =
		MIN(2 * sources->store_pause_ms, STORE_PAUSE_MAX_MS);
}

static void pause_peer(GArray *list, const struct endpoint *endpoint,
		       int64_t now_ms)
{
	for (guint i = 0; i < list->len; i++) {
		struct candidate *candidate =
			&g_array_index(list, struct candidate, i);

		if (endpoint_equal(&candidate->peer.endpoint, endpoint))
			candidate->paused_until_ms = now_ms + PEER_PAUSE_MS;
	}
}

/* Notes that the last choice did not answer, refused, or broke off. */
void relay_sources_failed(struct relay_sources *sources, int64_t now_ms)
{
	if (sources->current_kind == RELAY_SOURCE_STORE) {
		pause_store(sources, now_ms);
	} else if (sources->current_kind == RELAY_SOURCE_PEER) {
		pause_peer(sources->peers, &sources->current, now_ms);
		pause_peer(sources->seeds, &sources->current, now_ms);
	}
	sources->current_kind = RELAY_SOURCE_NONE;
}

/* Notes that the last choice has answered. */
void relay_sources_worked(struct relay_sources *sources)
{
	sources->peer_try_count = 0;
	if (sources->current_kind == RELAY_SOURCE_STORE)
		sources->store_pause_ms = STORE_PAUSE_MS;
}
