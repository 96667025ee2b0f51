#include "relay_caller_share.h"

#include <glib.h>

#define WINDOW_MS 1000

/* Further callers of a window are not tracked and never exceed their share. */
#define CALLER_COUNT_MAX 4096

/* A caller may open this many times as many flows as the mean caller. */
#define SHARE_FACTOR 2

/* Seed of the hash of a caller's address. */
#define CALLER_HASH_SEED 0

struct relay_caller_share {
	/* Maps a caller's hash to its number of flows in this window. */
	GHashTable *counts;
	uint64_t total_count;
	int64_t window_start_ms;
};

/* Creates an empty record of callers. Free it with relay_caller_share_free. */
struct relay_caller_share *relay_caller_share_new(void)
{
	struct relay_caller_share *share = g_new0(struct relay_caller_share, 1);

	share->counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	return share;
}

/* Frees the record; NULL is allowed. */
void relay_caller_share_free(struct relay_caller_share *share)
{
	if (!share)
		return;
	g_hash_table_destroy(share->counts);
	g_free(share);
}

static uint64_t caller_hash(const struct ip_addr *caller)
{
	const struct endpoint endpoint = {.addr = *caller};

	return endpoint_hash(&endpoint, CALLER_HASH_SEED);
}

static void advance(struct relay_caller_share *share, int64_t now_ms)
{
	if (now_ms - share->window_start_ms < WINDOW_MS)
		return;
	g_hash_table_remove_all(share->counts);
	share->total_count = 0;
	share->window_start_ms = now_ms;
}

/* Records that a caller opens a flow. */
void relay_caller_share_add(struct relay_caller_share *share,
			    const struct ip_addr *caller, int64_t now_ms)
{
	uint64_t hash = caller_hash(caller);
	guint count;

	advance(share, now_ms);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(share->counts, &hash));
	if (count == 0 && g_hash_table_size(share->counts) >= CALLER_COUNT_MAX)
		return;
	share->total_count++;
	g_hash_table_insert(share->counts, g_memdup2(&hash, sizeof(hash)),
			    GUINT_TO_POINTER(count + 1));
}

/* Returns whether the caller has opened more flows than its share. */
bool relay_caller_share_is_exceeded(struct relay_caller_share *share,
				    const struct ip_addr *caller,
				    int64_t now_ms)
{
	uint64_t hash = caller_hash(caller);
	uint64_t caller_count;
	guint count;

	advance(share, now_ms);
	caller_count = g_hash_table_size(share->counts);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(share->counts, &hash));
	return caller_count > 1 &&
	       count * caller_count > SHARE_FACTOR * share->total_count;
}
