#include <core/pool_history.h>

#include <core/target_rank.h>
#include <string.h>

/*
 * Creates the history of a service, without a pool. Free it with
 * pool_history_free.
 */
struct pool_history *pool_history_new(uint32_t service_id)
{
	struct pool_history *history = g_new0(struct pool_history, 1);

	history->service_id = service_id;
	return history;
}

static void add_member_refs(const struct pool *pool, struct target_table *table,
			    int32_t delta)
{
	for (uint32_t i = 0; i < pool->member_count; i++)
		target_table_at(table, pool->members[i].target_index)
			->ref_count += (uint32_t)delta;
}

static void release_pool(struct pool *pool, struct target_table *table)
{
	add_member_refs(pool, table, -1);
	g_free(pool->members);
}

/* Frees the history and its references to targets; NULL is allowed. */
void pool_history_free(struct pool_history *history, struct target_table *table)
{
	if (!history)
		return;
	for (uint32_t i = 0; i < history->pool_count; i++)
		release_pool(&history->pools[i], table);
	g_free(history);
}

static struct pool make_pool(struct target_table *table, uint64_t generation,
			     const struct target *targets,
			     uint32_t target_count)
{
	struct pool pool = {.generation = generation};

	pool.members = g_new0(struct pool_member, target_count);
	for (uint32_t i = 0; i < target_count; i++) {
		uint16_t index = target_table_add(table, &targets[i]);

		if (index == TARGET_INDEX_NONE)
			continue;
		pool.members[pool.member_count++] = (struct pool_member){
			.target_id = targets[i].target_id,
			.weight = targets[i].weight,
			.target_index = index,
		};
		pool.weight_sum += targets[i].weight;
	}
	return pool;
}

static bool has_same_members(const struct pool *pool,
			     const struct target *targets,
			     uint32_t target_count)
{
	if (pool->member_count != target_count)
		return false;
	for (uint32_t i = 0; i < target_count; i++) {
		if (pool->members[i].target_id != targets[i].target_id ||
		    pool->members[i].weight != targets[i].weight)
			return false;
	}
	return true;
}

static uint32_t position_of(const struct pool_history *history,
			    uint64_t generation)
{
	uint32_t position = 0;

	while (position < history->pool_count &&
	       history->pools[position].generation > generation)
		position++;
	return position;
}

static void insert(struct pool_history *history, struct target_table *table,
		   uint32_t position, const struct pool *pool)
{
	if (history->pool_count == POOL_HISTORY_MAX)
		release_pool(&history->pools[--history->pool_count], table);
	memmove(&history->pools[position + 1], &history->pools[position],
		(history->pool_count - position) * sizeof(*pool));
	history->pools[position] = *pool;
	history->pool_count++;
}

/*
 * Returns whether the history has a pool of this generation, or an equal pool
 * next to its position. An equal later pool takes the earlier generation.
 */
static bool is_duplicate(struct pool_history *history, uint32_t position,
			 uint64_t generation, const struct target *targets,
			 uint32_t target_count)
{
	if (position < history->pool_count &&
	    (history->pools[position].generation == generation ||
	     has_same_members(&history->pools[position], targets,
			      target_count)))
		return true;
	if (position == 0 || !has_same_members(&history->pools[position - 1],
					       targets, target_count))
		return false;
	history->pools[position - 1].generation = generation;
	return true;
}

/*
 * Inserts the pool of a generation in order. Returns false if the history has
 * the generation already, if the pool equals the one before or after it, or if
 * the history has POOL_HISTORY_MAX pools that are all newer.
 */
bool pool_history_add(struct pool_history *history, struct target_table *table,
		      uint64_t generation, const struct target *targets,
		      uint32_t target_count, int64_t now_ms)
{
	uint32_t position = position_of(history, generation);
	struct pool pool;

	if (position == 0 && history->pool_count > 0 &&
	    history->pools[0].generation != generation)
		history->changed_ms = now_ms;
	if (position == POOL_HISTORY_MAX ||
	    is_duplicate(history, position, generation, targets, target_count))
		return false;
	pool = make_pool(table, generation, targets, target_count);
	add_member_refs(&pool, table, 1);
	pool.superseded_ms = position == 0 ? 0 : now_ms;
	insert(history, table, position, &pool);
	if (position == 0 && history->pool_count > 1)
		history->pools[1].superseded_ms = now_ms;
	return true;
}

/* Removes pools that were superseded before before_ms. */
void pool_history_expire(struct pool_history *history,
			 struct target_table *table, int64_t before_ms)
{
	while (history->pool_count > 1 &&
	       history->pools[history->pool_count - 1].superseded_ms <
		       before_ms)
		release_pool(&history->pools[--history->pool_count], table);
}

/*
 * Returns the pool that was current at a revision of the rules, the oldest one
 * if the revision is older than all, or NULL if there is no pool.
 */
const struct pool *pool_history_at(const struct pool_history *history,
				   uint64_t revision)
{
	uint32_t position = position_of(history, revision);

	if (history->pool_count == 0)
		return NULL;
	if (position == history->pool_count)
		position--;
	return &history->pools[position];
}

/* Returns the oldest generation in the history, or 0 if there is no pool. */
uint64_t pool_history_oldest_generation(const struct pool_history *history)
{
	if (history->pool_count == 0)
		return 0;
	return history->pools[history->pool_count - 1].generation;
}

/*
 * Returns the index in the target table of a flow's default target, or
 * TARGET_INDEX_NONE for an empty pool. It depends only on the pool and on
 * hash_low, the low half of the flow's hash, so that all nodes agree on it.
 */
uint16_t pool_default_target_index(const struct pool *pool, uint64_t hash_low)
{
	uint16_t best = TARGET_INDEX_NONE;
	uint64_t best_cost = 0;

	for (uint32_t i = 0; i < pool->member_count; i++) {
		const struct pool_member *member = &pool->members[i];
		uint64_t cost = target_rank_cost(member->target_id,
						 member->weight, hash_low);

		if (best == TARGET_INDEX_NONE || cost < best_cost) {
			best = member->target_index;
			best_cost = cost;
		}
	}
	return best;
}
