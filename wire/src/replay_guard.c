#include <wire/replay_guard.h>

#include <glib.h>
#include <string.h>

#define WORD_BITS 64
#define WORD_COUNT (REPLAY_WINDOW_SIZE / WORD_BITS)

/*
 * An expired sender is forgotten and then counts as unknown. The interval is
 * longer than REPLAY_CLOCK_SKEW_S_MAX, so all messages of an expired sender are
 * too old to be accepted as the first from an unknown sender.
 */
#define SENDER_EXPIRY_S (3 * REPLAY_CLOCK_SKEW_S_MAX)

struct sender {
	uint64_t sender_id;
	uint32_t highest_sequence;
	uint32_t last_received_s;
	uint64_t received_bitmap[WORD_COUNT];
};

struct replay_guard {
	GHashTable *senders;
	uint32_t sender_count_max;
};

static const char *const verdict_names[REPLAY_VERDICT_COUNT] = {
	[REPLAY_FRESH] = "fresh",
	[REPLAY_SEEN] = "replayed",
	[REPLAY_OUTSIDE_WINDOW] = "outside_window",
	[REPLAY_CLOCK_SKEW] = "clock_skew",
};

/* Returns the name of a verdict as it appears in logs. */
const char *replay_verdict_name(enum replay_verdict verdict)
{
	return verdict < REPLAY_VERDICT_COUNT ? verdict_names[verdict]
					      : "invalid";
}

/*
 * Returns a guard that tracks at most sender_count_max senders. If it is full,
 * an unknown sender replaces the one that has been silent for longest. Free it
 * with replay_guard_free.
 */
struct replay_guard *replay_guard_new(uint32_t sender_count_max)
{
	struct replay_guard *guard = g_new0(struct replay_guard, 1);

	guard->senders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	guard->sender_count_max = sender_count_max;
	return guard;
}

/* Frees a guard; NULL is allowed. */
void replay_guard_free(struct replay_guard *guard)
{
	if (!guard)
		return;
	g_hash_table_destroy(guard->senders);
	g_free(guard);
}

/* Returns the number of senders that are tracked. */
uint32_t replay_guard_sender_count(const struct replay_guard *guard)
{
	return g_hash_table_size(guard->senders);
}

static void evict_senders(struct replay_guard *guard, uint32_t now_s)
{
	struct sender *oldest = NULL;
	struct sender *sender;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, guard->senders);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&sender)) {
		if (now_s - sender->last_received_s > SENDER_EXPIRY_S)
			g_hash_table_iter_remove(&iter);
		else if (!oldest ||
			 sender->last_received_s < oldest->last_received_s)
			oldest = sender;
	}
	if (oldest &&
	    replay_guard_sender_count(guard) >= guard->sender_count_max)
		g_hash_table_remove(guard->senders, &oldest->sender_id);
}

/* Sequence numbers map to bits of received_bitmap, used as a ring buffer. */
static uint64_t *window_word(struct sender *sender, uint32_t sequence)
{
	return &sender->received_bitmap[sequence / WORD_BITS % WORD_COUNT];
}

static uint64_t window_bit(uint32_t sequence)
{
	return UINT64_C(1) << (sequence % WORD_BITS);
}

/* Advances the window in whole words until it includes the sequence number. */
static void advance_window(struct sender *sender, uint32_t sequence)
{
	uint32_t first = sender->highest_sequence / WORD_BITS + 1;
	uint32_t last = sequence / WORD_BITS;

	if (last >= first && last - first >= WORD_COUNT)
		first = last - WORD_COUNT + 1;
	for (uint32_t word = first; word <= last; word++)
		sender->received_bitmap[word % WORD_COUNT] = 0;
	sender->highest_sequence = sequence;
}

/*
 * As advance_window clears whole words, the window has up to WORD_BITS - 1
 * sequence numbers fewer than REPLAY_WINDOW_SIZE.
 */
static bool is_below_window(const struct sender *sender, uint32_t sequence)
{
	return sender->highest_sequence / WORD_BITS - sequence / WORD_BITS >=
	       WORD_COUNT;
}

static enum replay_verdict check_window(struct sender *sender,
					uint32_t sequence)
{
	if (sequence > sender->highest_sequence)
		advance_window(sender, sequence);
	else if (is_below_window(sender, sequence))
		return REPLAY_OUTSIDE_WINDOW;
	if (*window_word(sender, sequence) & window_bit(sequence))
		return REPLAY_SEEN;
	*window_word(sender, sequence) |= window_bit(sequence);
	return REPLAY_FRESH;
}

static bool is_skewed(uint32_t sent_s, uint32_t now_s)
{
	uint32_t skew_s = sent_s > now_s ? sent_s - now_s : now_s - sent_s;

	return skew_s > REPLAY_CLOCK_SKEW_S_MAX;
}

/*
 * Checks an authenticated message against the sender's anti-replay window (RFC
 * 4303, section 3.4.3) and records its sequence number. now_s is the wall-clock
 * time, as sent_s of the message is that of the sender.
 */
enum replay_verdict replay_guard_check(struct replay_guard *guard,
				       const struct rpc_message *message,
				       uint32_t now_s)
{
	struct sender *sender =
		g_hash_table_lookup(guard->senders, &message->sender_id);

	if (!sender) {
		if (is_skewed(message->sent_s, now_s))
			return REPLAY_CLOCK_SKEW;
		if (replay_guard_sender_count(guard) >= guard->sender_count_max)
			evict_senders(guard, now_s);
		sender = g_new0(struct sender, 1);
		sender->sender_id = message->sender_id;
		sender->highest_sequence = message->sequence;
		g_hash_table_insert(guard->senders, &sender->sender_id, sender);
	}
	sender->last_received_s = now_s;
	return check_window(sender, message->sequence);
}
