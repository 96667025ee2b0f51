#include <core/pool_history.h>

#include <core/target_rank.h>
#include <string.h>

/* Makes the history of a service with no pool in it yet. */
struct pool_history *pool_history_new(uint32_t service_id)
{
	struct pool_history *history = g_new0(struct pool_history, 1);

	history->service_id = service_id;
	return history;
}

static void hold_members(const struct pool *pool, struct target_book *book,
			 int32_t amount)
{
	for (uint32_t i = 0; i < pool->member_count; i++)
		target_book_at(book, pool->members[i].target_index)
			->hold_count += (uint32_t)amount;
}

static void drop_pool(struct pool *pool, struct target_book *book)
{
	hold_members(pool, book, -1);
	g_free(pool->members);
}

/* Frees the history and lets go of its targets; NULL is allowed. */
void pool_history_free(struct pool_history *history, struct target_book *book)
{
	if (!history)
		return;
	for (uint32_t i = 0; i < history->pool_count; i++)
		drop_pool(&history->pools[i], book);
	g_free(history);
}

static struct pool make_pool(struct target_book *book, uint64_t generation,
			     const struct target *targets,
			     uint32_t target_count)
{
	struct pool pool = {.generation = generation};

	pool.members = g_new0(struct pool_member, target_count);
	for (uint32_t i = 0; i < target_count; i++) {
		uint16_t index = target_book_add(book, &targets[i]);

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

static bool is_same(const struct pool *pool, const struct target *targets,
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

static uint32_t place_of(const struct pool_history *history,
			 uint64_t generation)
{
	uint32_t place = 0;

	while (place < history->pool_count &&
	       history->pools[place].generation > generation)
		place++;
	return place;
}

static void insert(struct pool_history *history, struct target_book *book,
		   uint32_t place, const struct pool *pool)
{
	if (history->pool_count == POOL_HISTORY_MAX)
		drop_pool(&history->pools[--history->pool_count], book);
	memmove(&history->pools[place + 1], &history->pools[place],
		(history->pool_count - place) * sizeof(*pool));
	history->pools[place] = *pool;
	history->pool_count++;
}

/* A pool that another one only repeats is as old as the older of the two. */
static bool repeats(struct pool_history *history, uint32_t place,
		    uint64_t generation, const struct target *targets,
		    uint32_t target_count)
{
	if (place < history->pool_count &&
	    (history->pools[place].generation == generation ||
	     is_same(&history->pools[place], targets, target_count)))
		return true;
	if (place == 0 ||
	    !is_same(&history->pools[place - 1], targets, target_count))
		return false;
	history->pools[place - 1].generation = generation;
	return true;
}

/*
 * Adds the pool of a generation, in its place. Returns false when it is
 * known, when it only repeats the pool beside it, or when it is too old to be
 * kept.
 */
bool pool_history_add(struct pool_history *history, struct target_book *book,
		      uint64_t generation, const struct target *targets,
		      uint32_t target_count, int64_t now_ms)
{
	uint32_t place = place_of(history, generation);
	struct pool pool;

	if (place == 0 && history->pool_count > 0 &&
	    history->pools[0].generation != generation)
		history->changed_ms = now_ms;
	if (place == POOL_HISTORY_MAX ||
	    repeats(history, place, generation, targets, target_count))
		return false;
	pool = make_pool(book, generation, targets, target_count);
	hold_members(&pool, book, 1);
	pool.superseded_ms = place == 0 ? 0 : now_ms;
	insert(history, book, place, &pool);
	if (place == 0 && history->pool_count > 1)
		history->pools[1].superseded_ms = now_ms;
	return true;
}

/* Forgets pools that were superseded before a moment. */
void pool_history_expire(struct pool_history *history, struct target_book *book,
			 int64_t before_ms)
{
	while (history->pool_count > 1 &&
	       history->pools[history->pool_count - 1].superseded_ms <
		       before_ms)
		drop_pool(&history->pools[--history->pool_count], book);
}

/*
 * Returns the pool that was in force at a revision, the oldest one known when
 * the revision is older than all, or NULL when there is none.
 */
const struct pool *pool_history_at(const struct pool_history *history,
				   uint64_t revision)
{
	uint32_t place = place_of(history, revision);

	if (history->pool_count == 0)
		return NULL;
	if (place == history->pool_count)
		place--;
	return &history->pools[place];
}

/* Returns the oldest generation known, or 0 when there is none. */
uint64_t pool_history_oldest(const struct pool_history *history)
{
	if (history->pool_count == 0)
		return 0;
	return history->pools[history->pool_count - 1].generation;
}

/*
 * Returns the index in the book of the target that a flow goes to unless
 * something speaks against it, or TARGET_INDEX_NONE for an empty pool. It
 * depends on the pool and the flow alone, so that all nodes agree on it.
 */
uint16_t pool_default(const struct pool *pool, uint64_t print_low)
{
	uint16_t best = TARGET_INDEX_NONE;
	uint64_t best_cost = 0;

	for (uint32_t i = 0; i < pool->member_count; i++) {
		const struct pool_member *member = &pool->members[i];
		uint64_t cost = target_rank_cost(member->target_id,
						 member->weight, print_low);

		if (best == TARGET_INDEX_NONE || cost < best_cost) {
			best = member->target_index;
			best_cost = cost;
		}
	}
	return best;
}
