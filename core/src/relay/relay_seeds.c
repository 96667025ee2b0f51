#include "relay_seeds.h"

/* Maximum number of seeds; further announcements are ignored. */
#define SEED_COUNT_MAX 16

/* offset is the position of the seed that is asked first. */
struct relay_seeds {
	struct endpoint self;
	GArray *list;
	uint32_t offset;
};

/*
 * Creates an empty list, to which self may be added. offset is the number of
 * the seed that is asked first. Free the list with relay_seeds_free.
 */
struct relay_seeds *relay_seeds_new(const struct endpoint *self,
				    uint32_t offset)
{
	struct relay_seeds *seeds = g_new0(struct relay_seeds, 1);

	seeds->self = *self;
	seeds->offset = offset;
	seeds->list = g_array_new(FALSE, TRUE, sizeof(struct relay_candidate));
	return seeds;
}

/* Frees the list; NULL is allowed. */
void relay_seeds_free(struct relay_seeds *seeds)
{
	if (!seeds)
		return;
	g_array_free(seeds->list, TRUE);
	g_free(seeds);
}

static struct relay_candidate *at(const struct relay_seeds *seeds,
				  uint32_t position)
{
	return &g_array_index(seeds->list, struct relay_candidate, position);
}

/* Returns the seed with this address, or NULL. */
struct relay_candidate *relay_seeds_find(const struct relay_seeds *seeds,
					 const struct endpoint *endpoint)
{
	for (guint i = 0; i < seeds->list->len; i++) {
		if (endpoint_equal(&at(seeds, i)->peer.endpoint, endpoint))
			return at(seeds, i);
	}
	return NULL;
}

/* Adds a seed of the settings. */
void relay_seeds_append(struct relay_seeds *seeds,
			const struct endpoint *endpoint)
{
	struct relay_candidate seed = {.peer.endpoint = *endpoint};

	g_array_append_val(seeds->list, seed);
}

/*
 * Adds a seed that is asked before the others. Returns false if it is in the
 * list already, or if the list is full.
 */
bool relay_seeds_prepend(struct relay_seeds *seeds,
			 const struct endpoint *endpoint)
{
	struct relay_candidate seed = {.peer.endpoint = *endpoint};

	if (seeds->list->len >= SEED_COUNT_MAX ||
	    relay_seeds_find(seeds, endpoint))
		return false;
	g_array_prepend_val(seeds->list, seed);
	seeds->offset = 0;
	return true;
}

/* Returns whether this node is one of the seeds. */
bool relay_seeds_contains_self(const struct relay_seeds *seeds)
{
	return relay_seeds_find(seeds, &seeds->self) != NULL;
}

/* Returns whether there is a seed other than this node. */
bool relay_seeds_has_others(const struct relay_seeds *seeds)
{
	return seeds->list->len > (relay_seeds_contains_self(seeds) ? 1U : 0U);
}

/*
 * Returns another seed that is not in backoff, or NULL. Nodes begin with
 * different seeds, so that they share the work when all nodes start.
 */
struct relay_candidate *relay_seeds_pick(const struct relay_seeds *seeds,
					 int64_t now_ms)
{
	for (guint i = 0; i < seeds->list->len; i++) {
		struct relay_candidate *seed =
			at(seeds, (seeds->offset + i) % seeds->list->len);

		if (relay_candidate_is_usable(seed, now_ms) &&
		    !endpoint_equal(&seed->peer.endpoint, &seeds->self))
			return seed;
	}
	return NULL;
}
