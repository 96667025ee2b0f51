#include <core/claim_table.h>

#include <glib.h>

/* Longer than a round's timeout plus the delay of its messages. */
#define RELEASED_RETENTION_MS 3000

/*
 * The claim on one key. A released claim is kept for RELEASED_RETENTION_MS, so
 * that a late duplicate of its request is not treated as a new one. A disputed
 * claim was received from two holders with different tokens and cannot be
 * released.
 */
struct claim {
	struct hash128 key;
	struct claim_token token;
	int64_t granted_ms;
	int64_t released_ms;
	uint64_t sequence;
	GSequenceIter *position;
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
	return (guint)((const struct hash128 *)key)->low;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return hash128_equal(*(const struct hash128 *)a,
			     *(const struct hash128 *)b);
}

static bool token_equal(struct claim_token a, struct claim_token b)
{
	return a.node_id == b.node_id && a.request_id == b.request_id;
}

/* Creates an empty table. Free it with claim_table_free. */
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

static void remove_claim(struct claim_table *table, struct claim *claim)
{
	g_hash_table_remove(table->by_key, &claim->key);
	g_sequence_remove(claim->position);
}

static struct claim *first_claim(GSequence *sequence)
{
	GSequenceIter *first = g_sequence_get_begin_iter(sequence);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/* Removes claims past lifetime_ms, released ones past their retention. */
void claim_table_expire(struct claim_table *table, int64_t now_ms)
{
	struct claim *claim = first_claim(table->by_sequence);

	while (claim &&
	       now_ms - claim->granted_ms >= table->options.lifetime_ms) {
		remove_claim(table, claim);
		claim = first_claim(table->by_sequence);
	}
	claim = first_claim(table->released);
	while (claim && now_ms - claim->released_ms >= RELEASED_RETENTION_MS) {
		remove_claim(table, claim);
		claim = first_claim(table->released);
	}
}

static struct claim *add_claim(struct claim_table *table, struct hash128 key,
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
	claim->position = g_sequence_append(table->by_sequence, claim);
	return claim;
}

/* Grants a released claim's key to another token, with a new lifetime. */
static void regrant(struct claim_table *table, struct claim *claim,
		    struct claim_token token, int64_t granted_ms)
{
	claim->token = token;
	claim->granted_ms = granted_ms;
	claim->is_released = false;
	claim->sequence = ++table->next_sequence;
	g_sequence_move(claim->position,
			g_sequence_get_end_iter(table->by_sequence));
}

/*
 * Grants the key to the token unless another token has it. A repeated request
 * of the same token is granted again, but not after its release. A full table
 * grants no new key, because evicting a claim could let a request run twice.
 */
enum claim_verdict claim_table_claim(struct claim_table *table,
				     struct hash128 key,
				     struct claim_token token, int64_t now_ms)
{
	struct claim *claim;

	claim_table_expire(table, now_ms);
	claim = g_hash_table_lookup(table->by_key, &key);
	if (!claim)
		return add_claim(table, key, token, now_ms)
			       ? CLAIM_VERDICT_GRANTED
			       : CLAIM_VERDICT_UNREADY;
	if (claim->is_released && !token_equal(claim->token, token)) {
		regrant(table, claim, token, now_ms);
		return CLAIM_VERDICT_GRANTED;
	}
	if (claim->is_released || claim->is_disputed ||
	    !token_equal(claim->token, token))
		return CLAIM_VERDICT_TAKEN;
	return CLAIM_VERDICT_GRANTED;
}

/*
 * Releases a token's claim. A release that arrives before the token's request
 * for the claim is recorded, so that this request is not granted.
 */
void claim_table_release(struct claim_table *table, struct hash128 key,
			 struct claim_token token, int64_t now_ms)
{
	struct claim *claim = g_hash_table_lookup(table->by_key, &key);

	if (!claim)
		claim = add_claim(table, key, token, now_ms);
	if (!claim || claim->is_released || claim->is_disputed ||
	    !token_equal(claim->token, token))
		return;
	claim->is_released = true;
	claim->released_ms = now_ms;
	g_sequence_move(claim->position,
			g_sequence_get_end_iter(table->released));
}

/*
 * Merges a claim from another holder. When two tokens claim one key, the
 * request of either may have run, so neither can release it. Returns false when
 * the table is full.
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
		return add_claim(table, entry->key, entry->token, granted_ms) !=
		       NULL;
	if (token_equal(claim->token, entry->token))
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
 * Copies the first unreleased claim after the cursor and moves the cursor to
 * it; returns false at the end. A cursor of 0 starts at the oldest claim. A
 * disputed claim is copied with a token that no request has.
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

/* Returns the number of claims, including released ones. */
uint32_t claim_table_count(const struct claim_table *table)
{
	return g_hash_table_size(table->by_key);
}
