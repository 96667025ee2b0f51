#include <core/target_book.h>

struct target_book {
	GArray *targets;
	GHashTable *by_id;
	/* The target id in force at each endpoint. */
	GHashTable *owners;
};

static guint hash_endpoint(gconstpointer endpoint)
{
	return (guint)endpoint_hash(endpoint, 0);
}

static gboolean equal_endpoints(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

/* Makes an empty book; the caller frees it with target_book_free. */
struct target_book *target_book_new(void)
{
	struct target_book *book = g_new0(struct target_book, 1);

	book->targets = g_array_new(FALSE, TRUE, sizeof(struct known_target));
	book->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	book->owners = g_hash_table_new_full(hash_endpoint, equal_endpoints,
					     g_free, g_free);
	return book;
}

/* Frees the book; NULL is allowed. */
void target_book_free(struct target_book *book)
{
	if (!book)
		return;
	g_array_free(book->targets, TRUE);
	g_hash_table_destroy(book->by_id);
	g_hash_table_destroy(book->owners);
	g_free(book);
}

/* Returns the index of a target id, or TARGET_INDEX_NONE. */
uint16_t target_book_find(const struct target_book *book, uint64_t target_id)
{
	gpointer value;

	if (!g_hash_table_lookup_extended(book->by_id, &target_id, NULL,
					  &value))
		return TARGET_INDEX_NONE;
	return (uint16_t)GPOINTER_TO_UINT(value);
}

/* Returns the target at an index; it is valid until the next add. */
struct known_target *target_book_at(struct target_book *book, uint16_t index)
{
	return &g_array_index(book->targets, struct known_target, index);
}

static uint16_t find_free(const struct target_book *book)
{
	for (guint i = 0; i < book->targets->len; i++) {
		const struct known_target *known =
			&g_array_index(book->targets, struct known_target, i);

		if (known->target.target_id == TARGET_NONE)
			return (uint16_t)i;
	}
	return TARGET_INDEX_NONE;
}

static uint16_t place(struct target_book *book)
{
	uint16_t index = find_free(book);

	if (index != TARGET_INDEX_NONE)
		return index;
	if (book->targets->len >= TARGET_INDEX_NONE)
		return TARGET_INDEX_NONE;
	g_array_set_size(book->targets, book->targets->len + 1);
	return (uint16_t)(book->targets->len - 1);
}

/* Whether a target is cold or cut off is for each node to see for itself. */
static enum target_state first_state(enum target_state told)
{
	return told == TARGET_COLD || told == TARGET_CUT_OFF ? TARGET_SERVING
							     : told;
}

/* Tells whether another target is in force at the endpoint of this one. */
static bool has_other_owner(const struct target_book *book,
			    const struct target *target)
{
	const uint64_t *owner_id =
		g_hash_table_lookup(book->owners, &target->endpoint);

	return owner_id && *owner_id != target->target_id;
}

/*
 * Adds a target unless its id is known, and returns its index; returns
 * TARGET_INDEX_NONE when there is no room.
 */
uint16_t target_book_add(struct target_book *book, const struct target *target)
{
	uint16_t index = target_book_find(book, target->target_id);
	struct known_target *known;

	if (index != TARGET_INDEX_NONE)
		return index;
	index = place(book);
	if (index == TARGET_INDEX_NONE)
		return index;
	known = target_book_at(book, index);
	*known = (struct known_target){.target = *target};
	known->target.state = first_state(target->state);
	known->is_reused = has_other_owner(book, target);
	g_hash_table_insert(
		book->by_id,
		g_memdup2(&target->target_id, sizeof(target->target_id)),
		GUINT_TO_POINTER(index));
	return index;
}

/* Returns the number of places; one without a target has id TARGET_NONE. */
uint32_t target_book_count(const struct target_book *book)
{
	return book->targets->len;
}

/* Takes the targets in force into the book, keeping what is known of them. */
static void adopt(struct target_book *book, const struct rule *rule)
{
	for (uint32_t i = 0; i < rule->target_count; i++) {
		const struct target *target = &rule->targets[i];
		uint16_t index = target_book_add(book, target);
		struct known_target *known;
		enum target_state state;

		if (index == TARGET_INDEX_NONE)
			continue;
		known = target_book_at(book, index);
		state = known->target.state;
		known->target = *target;
		known->target.state = state;
		known->is_in_force = true;
	}
}

static void find_owners(struct target_book *book, const struct rule_set *rules)
{
	g_hash_table_remove_all(book->owners);
	for (uint32_t i = 0; i < rule_set_count(rules); i++) {
		const struct rule *rule = rule_set_at(rules, i);

		for (uint32_t k = 0; k < rule->target_count; k++) {
			const struct target *target = &rule->targets[k];

			g_hash_table_insert(
				book->owners,
				g_memdup2(&target->endpoint,
					  sizeof(target->endpoint)),
				g_memdup2(&target->target_id,
					  sizeof(target->target_id)));
		}
	}
}

static void mark_endpoint(struct target_book *book, uint16_t index)
{
	struct known_target *known = target_book_at(book, index);
	const uint64_t *owner_id =
		g_hash_table_lookup(book->owners, &known->target.endpoint);
	uint16_t owner_index;

	if (known->target.target_id == TARGET_NONE || !owner_id)
		return;
	if (*owner_id == known->target.target_id) {
		known->is_reused = false;
		return;
	}
	owner_index = target_book_find(book, *owner_id);
	if (known->is_in_force && owner_index != TARGET_INDEX_NONE) {
		known->is_shared = true;
		target_book_at(book, owner_index)->is_shared = true;
	}
	/* The rules named both at once, so the endpoint serves both. */
	known->is_reused = !known->is_shared;
}

static void forget_unused(struct target_book *book)
{
	for (guint i = 0; i < book->targets->len; i++) {
		struct known_target *known = target_book_at(book, (uint16_t)i);

		if (known->is_in_force || known->hold_count > 0 ||
		    known->target.target_id == TARGET_NONE)
			continue;
		g_hash_table_remove(book->by_id, &known->target.target_id);
		*known = (struct known_target){.flow_count = 0};
	}
}

/*
 * Follows the rules in force: which targets belong to a pool, and which of
 * the others have lost their address to another target. An address that two
 * services share on purpose was in both pools at the same time.
 */
void target_book_set_rules(struct target_book *book,
			   const struct rule_set *rules)
{
	find_owners(book, rules);
	for (guint i = 0; i < book->targets->len; i++)
		target_book_at(book, (uint16_t)i)->is_in_force = false;
	for (uint32_t i = 0; i < rule_set_count(rules); i++)
		adopt(book, rule_set_at(rules, i));
	for (guint i = 0; i < book->targets->len; i++)
		mark_endpoint(book, (uint16_t)i);
	forget_unused(book);
}
