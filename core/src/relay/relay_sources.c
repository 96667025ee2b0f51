#include <core/relay_sources.h>

#include <core/node.h>

/*
 * At least two nodes read the store, so that updates continue if one fails.
 * There are more if a reader would have more than 48 followers: sending them a
 * configuration of 60 KB takes about 120 ms on a link of 200 Mbit/s.
 */
#define READER_COUNT_MIN 2
#define FOLLOWER_COUNT_MAX 48

/* Maximum number of seeds; further announcements are ignored. */
#define SEED_COUNT_MAX 16

/* After this many failures of peers in a row the node reads the store. */
#define PEER_TRY_COUNT_MAX 2

/*
 * Backoff after a failure. It is constant for a peer, as a peer that only lost
 * its connection to the store recovers soon. It is exponential for the store,
 * as calls to the store are expensive, unlike calls to a peer.
 */
#define PEER_BACKOFF_MS 1000
#define STORE_BACKOFF_MS 150
#define STORE_BACKOFF_MAX_MS 1500

struct candidate {
	struct relay_peer peer;
	int64_t backoff_until_ms;
};

/* current is the address of the source in use if that is a peer. */
struct relay_sources {
	uint64_t self_id;
	GRand *random;
	GArray *peers;
	GArray *seeds;
	struct endpoint current;
	enum relay_source_kind current_kind;
	uint32_t peer_try_count;
	uint32_t store_backoff_ms;
	int64_t store_backoff_until_ms;
};

/*
 * Creates a set of sources that only has the store; random must outlive it.
 * Free it with relay_sources_free.
 */
struct relay_sources *relay_sources_new(uint64_t self_id, GRand *random)
{
	struct relay_sources *sources = g_new0(struct relay_sources, 1);

	sources->self_id = self_id;
	sources->random = random;
	sources->peers = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	sources->seeds = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	sources->store_backoff_ms = STORE_BACKOFF_MS;
	return sources;
}

/* Frees the sources; NULL is allowed. */
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
	return node_rendezvous_score(candidate->peer.node_id, 0);
}

/* Orders nodes by bandwidth, highest first, then by a hash of their id. */
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

/*
 * Replaces the list of nodes by the store's, an array of struct relay_peer that
 * includes this node.
 */
void relay_sources_set_peers(struct relay_sources *sources, const GArray *peers)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct candidate));

	for (guint i = 0; i < peers->len; i++) {
		struct candidate candidate = {
			.peer = g_array_index(peers, struct relay_peer, i)};
		const struct candidate *previous =
			find(sources->peers, candidate.peer.node_id);

		if (previous)
			candidate.backoff_until_ms = previous->backoff_until_ms;
		g_array_append_val(list, candidate);
	}
	g_array_sort(list, compare_rank);
	g_array_free(sources->peers, TRUE);
	sources->peers = list;
}

/* Adds the seeds of the settings. */
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

/* Returns whether the store's list of nodes contains this one. */
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
 * Adds a node that has announced itself, ahead of the other seeds. It has not
 * failed yet, so this node asks peers again even if the other seeds have
 * failed.
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

static bool is_in_backoff(const struct candidate *candidate, int64_t now_ms)
{
	return now_ms < candidate->backoff_until_ms;
}

static uint32_t reader_count(const struct relay_sources *sources)
{
	uint32_t count = (sources->peers->len + FOLLOWER_COUNT_MAX - 1) /
			 FOLLOWER_COUNT_MAX;

	return MAX(count, READER_COUNT_MIN);
}

/*
 * Returns whether this node reads the store: whether it is among the first
 * nodes by rank, not counting those that failed less than PEER_BACKOFF_MS ago.
 */
bool relay_sources_is_reader(const struct relay_sources *sources,
			     int64_t now_ms)
{
	uint32_t usable_count = 0;

	for (guint i = 0; i < sources->peers->len; i++) {
		const struct candidate *candidate =
			&g_array_index(sources->peers, struct candidate, i);

		if (candidate->peer.node_id == sources->self_id)
			return usable_count < reader_count(sources);
		if (!is_in_backoff(candidate, now_ms))
			usable_count++;
	}
	return true;
}

/*
 * Picks one of the first count_max peers that are not in backoff by rendezvous
 * hashing, which distributes the followers evenly. Returns -1 if there is none.
 */
static int32_t choose_peer(const struct relay_sources *sources,
			   const GArray *list, uint32_t count_max,
			   int64_t now_ms)
{
	int32_t best = -1;
	uint64_t best_score = 0;
	uint32_t usable_peer_count = 0;

	for (guint i = 0; i < list->len && usable_peer_count < count_max; i++) {
		const struct candidate *candidate =
			&g_array_index(list, struct candidate, i);
		uint64_t score = node_rendezvous_score(candidate->peer.node_id,
						       sources->self_id);

		if (is_in_backoff(candidate, now_ms) ||
		    candidate->peer.node_id == sources->self_id)
			continue;
		usable_peer_count++;
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

/* Seeds are used until the store has listed other nodes. */
static const GArray *peers_or_seeds(const struct relay_sources *sources)
{
	return sources->peers->len > 1 ? sources->peers : sources->seeds;
}

/* Chooses the source to read from next. */
struct relay_source relay_sources_next(struct relay_sources *sources,
				       int64_t now_ms)
{
	const GArray *list = peers_or_seeds(sources);
	bool is_store_in_backoff = now_ms < sources->store_backoff_until_ms;
	bool is_reader = relay_sources_is_reader(sources, now_ms);
	bool may_ask_peer = sources->peer_try_count < PEER_TRY_COUNT_MAX;
	int32_t peer = -1;

	if (may_ask_peer && (!is_reader || is_store_in_backoff))
		peer = choose_peer(sources, list, reader_count(sources),
				   now_ms);
	if (peer >= 0)
		return use_peer(sources, list, peer);
	if (!is_store_in_backoff)
		return use_store(sources);
	sources->current_kind = RELAY_SOURCE_NONE;
	return (struct relay_source){.kind = RELAY_SOURCE_NONE,
				     .retry_at_ms =
					     sources->store_backoff_until_ms};
}

static void back_off_store(struct relay_sources *sources, int64_t now_ms)
{
	uint32_t delay_ms = sources->store_backoff_ms;

	delay_ms += (uint32_t)g_rand_int_range(sources->random, 0,
					       (gint32)delay_ms);
	sources->store_backoff_until_ms = now_ms + delay_ms;
	sources->store_backoff_ms =
		MIN(2 * sources->store_backoff_ms, STORE_BACKOFF_MAX_MS);
}

static void back_off_peer(GArray *list, const struct endpoint *endpoint,
			  int64_t now_ms)
{
	for (guint i = 0; i < list->len; i++) {
		struct candidate *candidate =
			&g_array_index(list, struct candidate, i);

		if (endpoint_equal(&candidate->peer.endpoint, endpoint))
			candidate->backoff_until_ms = now_ms + PEER_BACKOFF_MS;
	}
}

/* Records that the chosen source did not answer, refused, or disconnected. */
void relay_sources_record_failure(struct relay_sources *sources, int64_t now_ms)
{
	if (sources->current_kind == RELAY_SOURCE_STORE) {
		back_off_store(sources, now_ms);
	} else if (sources->current_kind == RELAY_SOURCE_PEER) {
		back_off_peer(sources->peers, &sources->current, now_ms);
		back_off_peer(sources->seeds, &sources->current, now_ms);
	}
	sources->current_kind = RELAY_SOURCE_NONE;
}

/* Records that the chosen source answered. */
void relay_sources_record_success(struct relay_sources *sources)
{
	sources->peer_try_count = 0;
	if (sources->current_kind == RELAY_SOURCE_STORE)
		sources->store_backoff_ms = STORE_BACKOFF_MS;
}
