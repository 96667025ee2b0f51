#include <core/claim_table.h>

#include <glib.h>

/* Longer than a round lasts and than its messages may be on their way. */
#define RELEASED_MEMORY_MS 3000

/*
 * The claim of one key. A released one stays for a short while, so that a late
 * copy of its ask is not taken for a new one. A disputed one came from two
 * holders with two tokens; no release can free it.
 */
struct claim {
	struct flow_print key;
	struct claim_token token;
	int64_t granted_ms;
	int64_t released_ms;
	uint64_t sequence;
	GSequenceIter *place;
	bool is_released;
	bool is_disputed;
};

struct claim_table {
	struct claim_table_options options;
	GHashTable *by_key;
	GSequence *by_sequence;
	GSequence *released;
	uint64_t next_sequence;
};

static guint key_hash(gconstpointer key)
{
	return (guint)((const struct flow_print *)key)->low;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return flow_print_equal(*(const struct flow_print *)a,
				*(const struct flow_print *)b);
}

static bool is_token(struct claim_token a, struct claim_token b)
{
	return a.node_id == b.node_id && a.request_id == b.request_id;
}

/* Makes an empty table; the caller frees it with claim_table_free. */
struct claim_table *claim_table_new(const struct claim_table_options *options)
{
	struct claim_table *table = g_new0(struct claim_table, 1);

	table->options = *options;
	table->by_key = g_hash_table_new(key_hash, key_equal);
	table->by_sequence = g_sequence_new(g_free);
	table->released = g_sequence_new(g_free);
	return table;
}

/* Frees the table and its claims; NULL is allowed. */
void claim_table_free(struct claim_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_key);
	g_sequence_free(table->by_sequence);
	g_sequence_free(table->released);
	g_free(table);
}

static void forget(struct claim_table *table, struct claim *claim)
{
	g_hash_table_remove(table->by_key, &claim->key);
	g_sequence_remove(claim->place);
}

static struct claim *first_of(GSequence *sequence)
{
	GSequenceIter *first = g_sequence_get_begin_iter(sequence);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/* Forgets claims whose lifetime has passed, and released ones sooner. */
void claim_table_expire(struct claim_table *table, int64_t now_ms)
{
	struct claim *claim = first_of(table->by_sequence);

	while (claim &&
	       now_ms - claim->granted_ms >= table->options.lifetime_ms) {
		forget(table, claim);
		claim = first_of(table->by_sequence);
	}
	claim = first_of(table->released);
	while (claim && now_ms - claim->released_ms >= RELEASED_MEMORY_MS) {
		forget(table, claim);
		claim = first_of(table->released);
	}
}

static struct claim *add(struct claim_table *table, struct flow_print key,
			 struct claim_token token, int64_t granted_ms)
{
	struct claim *claim;

	if (g_hash_table_size(table->by_key) >= table->options.capacity)
		return NULL;
	claim = g_new0(struct claim, 1);
	claim->key = key;
	claim->token = token;
	claim->granted_ms = granted_ms;
	claim->sequence = ++table->next_sequence;
	g_hash_table_insert(table->by_key, &claim->key, claim);
	claim->place = g_sequence_append(table->by_sequence, claim);
	return claim;
}

/* A released claim's key goes to the next token, with a new lifetime. */
static void regrant(struct claim_table *table, struct claim *claim,
		    struct claim_token token, int64_t granted_ms)
{
	claim->token = token;
	claim->granted_ms = granted_ms;
	claim->is_released = false;
	claim->sequence = ++table->next_sequence;
	g_sequence_move(claim->place,
			g_sequence_get_end_iter(table->by_sequence));
}

/*
 * Grants the key to the token when no other token has it. A token that has it
 * is granted it again; one that was released is not. A full table grants
 * nothing new: to forget a claim early could run a request twice.
 */
enum claim_verdict claim_table_claim(struct claim_table *table,
				     struct flow_print key,
				     struct claim_token token, int64_t now_ms)
{
	struct claim *claim;

	claim_table_expire(table, now_ms);
	claim = g_hash_table_lookup(table->by_key, &key);
	if (!claim)
		return add(table, key, token, now_ms) ? CLAIM_VERDICT_GRANTED
						      : CLAIM_VERDICT_UNREADY;
	if (claim->is_released && !is_token(claim->token, token)) {
		regrant(table, claim, token, now_ms);
		return CLAIM_VERDICT_GRANTED;
	}
	if (claim->is_released || claim->is_disputed ||
	    !is_token(claim->token, token))
		return CLAIM_VERDICT_TAKEN;
	return CLAIM_VERDICT_GRANTED;
}

/*
 * Gives a token's claim back. A release that comes before its ask is kept,
 * and the ask is then refused.
 */
void claim_table_release(struct claim_table *table, struct flow_print key,
			 struct claim_token token, int64_t now_ms)
{
	struct claim *claim = g_hash_table_lookup(table->by_key, &key);

	if (!claim)
		claim = add(table, key, token, now_ms);
	if (!claim || claim->is_released || claim->is_disputed ||
	    !is_token(claim->token, token))
		return;
	claim->is_released = true;
	claim->released_ms = now_ms;
	g_sequence_move(claim->place, g_sequence_get_end_iter(table->released));
}

/*
 * Takes over a claim from another holder. Two tokens for one key: whichever
 * ran, the key stays taken. Returns false when the table is full.
 */
bool claim_table_merge(struct claim_table *table,
		       const struct claim_entry *entry, int64_t now_ms)
{
	struct claim *claim;
	int64_t granted_ms = now_ms - entry->age_ms;

	if (entry->age_ms >= table->options.lifetime_ms)
		return true;
	claim = g_hash_table_lookup(table->by_key, &entry->key);
	if (!claim)
		return add(table, entry->key, entry->token, granted_ms) != NULL;
	if (is_token(claim->token, entry->token))
		return true;
	if (claim->is_released) {
		regrant(table, claim, entry->token, granted_ms);
		return true;
	}
	claim->granted_ms = MAX(claim->granted_ms, granted_ms);
	claim->is_disputed = true;
	return true;
}

static gint compare_sequence(gconstpointer a, gconstpointer b, gpointer context)
{
	const struct claim *left = a;
	const struct claim *right = b;

	if (left->sequence == right->sequence)
		return 0;
	return left->sequence < right->sequence ? -1 : 1;
}

/*
 * Copies the first claim behind the cursor that is not released and moves the
 * cursor to it; returns false at the end. A cursor of 0 starts at the oldest. A
 * disputed claim goes out under a token that nobody has.
 */
bool claim_table_next(const struct claim_table *table, uint64_t *cursor,
		      struct claim_entry *entry, int64_t now_ms)
{
	struct claim after = {.sequence = *cursor};
	GSequenceIter *iter = g_sequence_search(table->by_sequence, &after,
						compare_sequence, NULL);
	const struct claim *claim;

	if (g_sequence_iter_is_end(iter))
		return false;
	claim = g_sequence_get(iter);
	*cursor = claim->sequence;
	entry->key = claim->key;
	entry->token =
		claim->is_disputed ? (struct claim_token){0, 0} : claim->token;
	entry->age_ms = (uint32_t)(now_ms - claim->granted_ms);
	return true;
}

/* Returns how many keys are held, released ones included. */
uint32_t claim_table_count(const struct claim_table *table)
{
	return g_hash_table_size(table->by_key);
}
