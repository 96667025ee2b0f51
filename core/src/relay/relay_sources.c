#include <core/relay_sources.h>

#include "relay_ranking.h"
#include "relay_seeds.h"
#include "store_backoff.h"

/*
 * A node goes to the store once the failures of peers in a row weigh this much.
 * A peer that refuses fails at once, so several are asked, with pauses in which
 * they may find a source themselves; two silent ones take 600 ms.
 */
#define FAILURE_WEIGHT_MAX 6
#define REFUSED_PAUSE_MS 100

/*
 * Followers that lose their peers at the same time go to the store at random
 * times within these periods per node, so that the whole fleet makes a limited
 * number of calls a second. If the peers refuse, they are alive and will have a
 * source again soon; if they are silent, they may be gone.
 */
#define REFUSED_SPREAD_MS 25
#define SILENT_SPREAD_MS 3

/*
 * A follower that reads the store tries to go back to its peers. The wait
 * before a trial doubles with each trial that fails, up to a maximum.
 */
#define TRIAL_WAIT_MS 1000
#define TRIAL_WAIT_MAX_MS 8000

/*
 * What a failure of a peer entails: its weight, the pause before the next
 * source, the peer's first backoff, and the spread of calls to the store.
 */
static const struct {
	uint32_t weight;
	uint32_t pause_ms;
	uint32_t backoff_ms;
	uint32_t spread_ms;
} failures[] = {
	[RELAY_FAILURE_REFUSED] = {1, REFUSED_PAUSE_MS, 250, REFUSED_SPREAD_MS},
	[RELAY_FAILURE_SILENT] = {3, 0, 1000, SILENT_SPREAD_MS},
};

/*
 * current is the address of the source in use if that is a peer. attempt_count
 * and failure_weight count peers since the last success or call to the store.
 * No source is chosen before retry_at_ms. is_store_due: the next source is the
 * store, once it is not in backoff. has_store_worked: the store has replied
 * since it became the source. is_trial: the peers are asked although the store
 * works; the next trial is at trial_at_ms.
 */
struct relay_sources {
	struct relay_peer self;
	GRand *random;
	struct relay_ranking *ranking;
	struct relay_seeds *seeds;
	struct endpoint current;
	enum relay_source_kind current_kind;
	uint32_t attempt_count;
	uint32_t failure_weight;
	int64_t retry_at_ms;
	struct store_backoff store_backoff;
	bool is_store_due;
	bool has_store_worked;
	bool is_trial;
	uint32_t trial_wait_ms;
	int64_t trial_at_ms;
};

/*
 * Creates a set of sources that only has the store. self is this node's entry;
 * random must outlive the sources. Free them with relay_sources_free.
 */
struct relay_sources *relay_sources_new(const struct relay_peer *self,
					GRand *random)
{
	struct relay_sources *sources = g_new0(struct relay_sources, 1);

	sources->self = *self;
	sources->random = random;
	sources->ranking = relay_ranking_new(self);
	sources->seeds =
		relay_seeds_new(&self->endpoint, (uint32_t)self->node_id);
	store_backoff_reset(&sources->store_backoff);
	sources->trial_wait_ms = TRIAL_WAIT_MS;
	return sources;
}

/* Frees the sources; NULL is allowed. */
void relay_sources_free(struct relay_sources *sources)
{
	if (!sources)
		return;
	relay_ranking_free(sources->ranking);
	relay_seeds_free(sources->seeds);
	g_free(sources);
}

/*
 * Replaces the list of nodes by the store's, an array of struct relay_peer that
 * may include this node.
 */
void relay_sources_set_peers(struct relay_sources *sources, const GArray *peers)
{
	relay_ranking_set(sources->ranking, peers);
}

/* Returns whether the store's list of nodes contains this one. */
bool relay_sources_is_listed(const struct relay_sources *sources)
{
	return relay_ranking_is_self_listed(sources->ranking);
}

/* Adds the seeds of the settings. */
void relay_sources_set_seeds(struct relay_sources *sources,
			     const GArray *endpoints)
{
	for (guint i = 0; i < endpoints->len; i++)
		relay_seeds_append(
			sources->seeds,
			&g_array_index(endpoints, struct endpoint, i));
}

/*
 * Adds a node that has announced itself, ahead of the other seeds. It has not
 * failed yet, so this node asks peers again even if the other seeds have
 * failed.
 */
void relay_sources_add_seed(struct relay_sources *sources,
			    const struct endpoint *endpoint)
{
	if (!relay_seeds_prepend(sources->seeds, endpoint))
		return;
	sources->failure_weight = 0;
	sources->retry_at_ms = 0;
}

/* Seeds are used until the store has listed other nodes. */
static bool uses_seeds(const struct relay_sources *sources)
{
	return relay_ranking_count(sources->ranking) == 0;
}

/* Returns this node's role among the nodes that it knows. */
enum relay_role relay_sources_role(const struct relay_sources *sources,
				   int64_t now_ms)
{
	if (!uses_seeds(sources))
		return relay_ranking_role(sources->ranking, now_ms);
	return relay_seeds_contains_self(sources->seeds) ||
			       !relay_seeds_has_others(sources->seeds)
		       ? RELAY_ROLE_READER
		       : RELAY_ROLE_FOLLOWER;
}

/*
 * A follower in a large fleet asks two relays of its zone first and then the
 * readers.
 */
static struct relay_candidate *pick_peer(const struct relay_sources *sources,
					 int64_t now_ms)
{
	struct relay_candidate *relay = NULL;

	if (uses_seeds(sources))
		return relay_seeds_pick(sources->seeds, now_ms);
	if (relay_ranking_is_tree(sources->ranking) &&
	    relay_ranking_role(sources->ranking, now_ms) ==
		    RELAY_ROLE_FOLLOWER &&
	    sources->attempt_count % 4 < 2)
		relay = relay_ranking_pick(sources->ranking,
					   RELAY_GROUP_ZONE_RELAYS, now_ms);
	return relay ? relay
		     : relay_ranking_pick(sources->ranking, RELAY_GROUP_READERS,
					  now_ms);
}

static struct relay_source use_peer(struct relay_sources *sources,
				    const struct relay_candidate *candidate)
{
	bool is_ranked = !uses_seeds(sources);

	sources->is_trial = sources->current_kind == RELAY_SOURCE_STORE &&
			    sources->has_store_worked;
	sources->current = candidate->peer.endpoint;
	sources->current_kind = RELAY_SOURCE_PEER;
	sources->attempt_count++;
	return (struct relay_source){
		.kind = RELAY_SOURCE_PEER,
		.endpoint = candidate->peer.endpoint,
		.may_serve = is_ranked && relay_ranking_is_ahead(
						  sources->ranking, candidate),
	};
}

static void reset_attempts(struct relay_sources *sources)
{
	sources->attempt_count = 0;
	sources->failure_weight = 0;
	sources->is_store_due = false;
}

static struct relay_source use_store(struct relay_sources *sources)
{
	reset_attempts(sources);
	sources->current_kind = RELAY_SOURCE_STORE;
	sources->has_store_worked = false;
	return (struct relay_source){.kind = RELAY_SOURCE_STORE,
				     .may_serve = true};
}

static struct relay_source use_none(struct relay_sources *sources,
				    int64_t retry_at_ms)
{
	sources->current_kind = RELAY_SOURCE_NONE;
	return (struct relay_source){.kind = RELAY_SOURCE_NONE,
				     .retry_at_ms = retry_at_ms};
}

static bool should_use_store(const struct relay_sources *sources,
			     bool needs_snapshot, int64_t now_ms)
{
	if (store_backoff_is_active(&sources->store_backoff, now_ms))
		return false;
	return needs_snapshot || sources->is_store_due ||
	       relay_sources_role(sources, now_ms) == RELAY_ROLE_READER;
}

/*
 * Chooses the source to read from next. A node that needs its first snapshot
 * reads that from the store, as peers would be overloaded if many nodes start
 * at the same time.
 */
struct relay_source relay_sources_next(struct relay_sources *sources,
				       bool needs_snapshot, int64_t now_ms)
{
	const struct relay_candidate *peer;

	if (now_ms < sources->retry_at_ms)
		return use_none(sources, sources->retry_at_ms);
	if (should_use_store(sources, needs_snapshot, now_ms))
		return use_store(sources);
	peer = pick_peer(sources, now_ms);
	if (peer)
		return use_peer(sources, peer);
	if (!store_backoff_is_active(&sources->store_backoff, now_ms))
		return use_store(sources);
	return use_none(sources, MIN(sources->store_backoff.until_ms,
				     now_ms + REFUSED_PAUSE_MS));
}

static uint32_t random_below(struct relay_sources *sources, uint32_t bound)
{
	return bound == 0 ? 0
			  : (uint32_t)g_rand_int_range(sources->random, 0,
						       (gint32)bound);
}

/* Returns a random part of the period over which the fleet's calls spread. */
static uint32_t spread_delay_ms(struct relay_sources *sources,
				uint32_t spread_ms, int64_t now_ms)
{
	if (relay_sources_role(sources, now_ms) != RELAY_ROLE_FOLLOWER)
		return 0;
	return random_below(sources,
			    spread_ms * relay_ranking_count(sources->ranking));
}

static void back_off_store(struct relay_sources *sources, int64_t now_ms)
{
	uint32_t random_ms =
		random_below(sources, sources->store_backoff.step_ms) +
		spread_delay_ms(sources, REFUSED_SPREAD_MS, now_ms);

	store_backoff_record_failure(&sources->store_backoff, random_ms,
				     now_ms);
}

static struct relay_candidate *
current_candidate(const struct relay_sources *sources)
{
	struct relay_candidate *candidate;

	if (sources->current_kind != RELAY_SOURCE_PEER)
		return NULL;
	candidate = relay_ranking_find(sources->ranking, &sources->current);
	return candidate ? candidate
			 : relay_seeds_find(sources->seeds, &sources->current);
}

static void back_off_peer(struct relay_sources *sources,
			  enum relay_failure failure, int64_t now_ms)
{
	struct relay_candidate *candidate = current_candidate(sources);

	if (candidate)
		relay_candidate_back_off(candidate,
					 failures[failure].backoff_ms, now_ms);
}

/* Returns to the store at once and waits longer before the next trial. */
static void fail_trial(struct relay_sources *sources, int64_t now_ms)
{
	sources->is_trial = false;
	sources->is_store_due = true;
	sources->retry_at_ms = now_ms;
	sources->trial_at_ms = now_ms + sources->trial_wait_ms;
	sources->trial_wait_ms =
		MIN(2 * sources->trial_wait_ms, TRIAL_WAIT_MAX_MS);
}

/* The store is due once peers have failed too often in a row. */
static void weigh_failure(struct relay_sources *sources,
			  enum relay_failure failure, int64_t now_ms)
{
	sources->retry_at_ms = now_ms + failures[failure].pause_ms;
	sources->failure_weight += failures[failure].weight;
	if (sources->failure_weight < FAILURE_WEIGHT_MAX ||
	    sources->is_store_due)
		return;
	sources->is_store_due = true;
	store_backoff_delay(
		&sources->store_backoff,
		now_ms + spread_delay_ms(sources, failures[failure].spread_ms,
					 now_ms));
}

/* Records that the chosen source did not answer, refused, or disconnected. */
void relay_sources_record_failure(struct relay_sources *sources,
				  enum relay_failure failure, int64_t now_ms)
{
	if (sources->current_kind == RELAY_SOURCE_STORE) {
		back_off_store(sources, now_ms);
	} else if (sources->current_kind == RELAY_SOURCE_PEER) {
		back_off_peer(sources, failure, now_ms);
		if (sources->is_trial)
			fail_trial(sources, now_ms);
		else
			weigh_failure(sources, failure, now_ms);
	}
	sources->current_kind = RELAY_SOURCE_NONE;
}

/* Records that the chosen source answered. */
void relay_sources_record_success(struct relay_sources *sources)
{
	struct relay_candidate *candidate = current_candidate(sources);

	reset_attempts(sources);
	if (candidate) {
		candidate->failure_count = 0;
		sources->is_trial = false;
		sources->trial_wait_ms = TRIAL_WAIT_MS;
	}
	if (sources->current_kind == RELAY_SOURCE_STORE) {
		store_backoff_reset(&sources->store_backoff);
		sources->has_store_worked = true;
	}
}

/* Returns whether a relay of this zone could replace the current source. */
static bool has_better_peer(const struct relay_sources *sources, int64_t now_ms)
{
	const struct relay_candidate *current =
		relay_ranking_find(sources->ranking, &sources->current);

	if (uses_seeds(sources))
		return false;
	/* A seed works; the list of nodes is incomplete while many start. */
	if (!current)
		return relay_ranking_is_self_listed(sources->ranking);
	return relay_ranking_is_tree(sources->ranking) &&
	       relay_ranking_role(sources->ranking, now_ms) ==
		       RELAY_ROLE_FOLLOWER &&
	       current->peer.zone_id != sources->self.zone_id &&
	       relay_ranking_pick(sources->ranking, RELAY_GROUP_ZONE_RELAYS,
				  now_ms);
}

/*
 * Returns whether the current source, which works, does not suit this node's
 * role: a node may read the store only because peers had failed, or read from a
 * peer because the store had.
 */
bool relay_sources_should_switch(const struct relay_sources *sources,
				 int64_t now_ms)
{
	bool is_reader =
		relay_sources_role(sources, now_ms) == RELAY_ROLE_READER;

	if (sources->current_kind == RELAY_SOURCE_STORE)
		return !is_reader && now_ms >= sources->trial_at_ms;
	if (is_reader)
		return !store_backoff_is_active(&sources->store_backoff,
						now_ms);
	return has_better_peer(sources, now_ms);
}
