#include <core/claim_director.h>

#include <core/claim_holder.h>
#include <core/claim_round.h>
#include <glib.h>

#define ROUND_TIMEOUT_MS 800
#define CLAIM_REQUEST_INTERVAL_MS 50

struct claim_director {
	struct claim_director_options options;
	struct claim_holder *holder;
	GHashTable *rounds;
};

static void send_message(void *context, uint64_t to_node_id,
			 const struct claim_message *message)
{
	struct claim_director *director = context;

	director->options.callbacks.send(director->options.callbacks.context,
					 to_node_id, message);
}

/*
 * Creates a director without a roster; until it has one, the result of every
 * claim is CLAIM_UNKNOWN. Free it with claim_director_free.
 */
struct claim_director *
claim_director_new(const struct claim_director_options *options)
{
	struct claim_director *director = g_new0(struct claim_director, 1);
	struct claim_holder_options holder_options = {
		.node_id = options->node_id,
		.capacity = options->capacity,
		.lifetime_ms = options->lifetime_ms,
		.lease_ms = options->lease_ms,
		.context = director,
		.send = send_message,
	};

	director->options = *options;
	director->holder = claim_holder_new(&holder_options);
	director->rounds = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	return director;
}

/* Frees the director; NULL is allowed. */
void claim_director_free(struct claim_director *director)
{
	if (!director)
		return;
	claim_holder_free(director->holder);
	g_hash_table_destroy(director->rounds);
	g_free(director);
}

/* Returns the node's roster; its epoch is 0 when the node has none. */
const struct roster *
claim_director_roster(const struct claim_director *director)
{
	return claim_holder_roster(director->holder);
}

/* Returns whether the node has all claims on its keys. */
bool claim_director_is_complete(const struct claim_director *director)
{
	return claim_holder_is_complete(director->holder);
}

static void send_release(struct claim_director *director,
			 struct claim_token token, struct hash128 key,
			 int64_t now_ms)
{
	const struct roster *roster = claim_holder_roster(director->holder);
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_RELEASE,
		.epoch = roster->epoch,
		.key = key,
		.token = token,
	};
	struct roster_holders holders;

	if (roster->epoch == 0)
		return;
	holders = roster_holders_of(&roster->epochs[0], key);
	for (uint32_t i = 0; i < holders.count; i++) {
		if (holders.node_ids[i] == director->options.node_id)
			claim_holder_handle_message(director->holder,
						    director->options.node_id,
						    &message, now_ms);
		else
			send_message(director, holders.node_ids[i], &message);
	}
}

static void end_round(struct claim_director *director,
		      struct claim_round *round, enum claim_result result,
		      int64_t now_ms)
{
	struct claim_token token = round->token;
	struct hash128 key = round->key;

	g_hash_table_remove(director->rounds, &token.request_id);
	if (result != CLAIM_GRANTED)
		send_release(director, token, key, now_ms);
	director->options.callbacks.report_result(
		director->options.callbacks.context, token.request_id, result);
}

/*
 * Ends the round if it is decided, or as CLAIM_UNKNOWN if ROUND_TIMEOUT_MS has
 * passed. Returns whether it ended.
 */
static bool finish_round_if_decided(struct claim_director *director,
				    struct claim_round *round, int64_t now_ms)
{
	if (now_ms - round->started_ms >= ROUND_TIMEOUT_MS) {
		end_round(director, round, CLAIM_UNKNOWN, now_ms);
		return true;
	}
	switch (claim_round_state(round)) {
	case CLAIM_ROUND_GRANTED:
		end_round(director, round, CLAIM_GRANTED, now_ms);
		return true;
	case CLAIM_ROUND_TAKEN:
		end_round(director, round, CLAIM_TAKEN, now_ms);
		return true;
	case CLAIM_ROUND_OPEN:
		break;
	}
	return false;
}

/* Records the verdict of this node, which is itself a holder of the key. */
static void record_own_verdict(struct claim_director *director,
			       struct claim_round *round, int64_t now_ms)
{
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_VERDICT,
		.epoch = round->epoch,
		.token = round->token,
		.verdict =
			claim_holder_decide(director->holder, round->epoch,
					    round->key, round->token, now_ms),
	};

	claim_round_record_verdict(round, director->options.node_id, &message);
}

/* Requests the claim from the undecided holders of the current epoch. */
static void request_claims(struct claim_director *director,
			   struct claim_round *round, int64_t now_ms)
{
	const struct roster *roster = claim_holder_roster(director->holder);
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_REQUEST,
		.epoch = roster->epoch,
		.key = round->key,
		.token = round->token,
	};

	if (round->epoch != roster->epoch)
		claim_round_begin(round, roster);
	round->requested_ms = now_ms;
	for (uint32_t i = 0; i < round->holders.count; i++) {
		if (!claim_round_is_undecided(round, i))
			continue;
		if (round->holders.node_ids[i] == director->options.node_id)
			record_own_verdict(director, round, now_ms);
		else
			send_message(director, round->holders.node_ids[i],
				     &message);
	}
}

/*
 * Claims a key for a request of this node. report_result is called exactly
 * once, before this function returns or later, unless claim_director_release
 * ends the round first.
 */
void claim_director_claim(struct claim_director *director, uint64_t request_id,
			  struct hash128 key, int64_t now_ms)
{
	struct claim_round *round;

	if (g_hash_table_size(director->rounds) >=
		    director->options.round_limit ||
	    g_hash_table_contains(director->rounds, &request_id)) {
		director->options.callbacks.report_result(
			director->options.callbacks.context, request_id,
			CLAIM_UNKNOWN);
		return;
	}
	round = g_new0(struct claim_round, 1);
	round->key = key;
	round->token.node_id = director->options.node_id;
	round->token.request_id = request_id;
	round->started_ms = now_ms;
	g_hash_table_insert(director->rounds, &round->token.request_id, round);
	request_claims(director, round, now_ms);
	finish_round_if_decided(director, round, now_ms);
}

/*
 * Releases the claim of a request that certainly did not run. A round that is
 * still open ends without a result.
 */
void claim_director_release(struct claim_director *director,
			    uint64_t request_id, struct hash128 key,
			    int64_t now_ms)
{
	struct claim_token token = {
		.node_id = director->options.node_id,
		.request_id = request_id,
	};

	g_hash_table_remove(director->rounds, &request_id);
	send_release(director, token, key, now_ms);
}

/* Applies the agreed roster; an older one is ignored. */
void claim_director_set_roster(struct claim_director *director,
			       const struct roster *roster, int64_t now_ms)
{
	claim_holder_set_roster(director->holder, roster, now_ms);
	claim_director_tick(director, now_ms);
}

static void handle_verdict(struct claim_director *director,
			   uint64_t from_node_id,
			   const struct claim_message *message, int64_t now_ms)
{
	struct claim_round *round = g_hash_table_lookup(
		director->rounds, &message->token.request_id);

	if (!round || message->token.node_id != director->options.node_id)
		return;
	claim_round_record_verdict(round, from_node_id, message);
	finish_round_if_decided(director, round, now_ms);
}

/* Handles a message from another node. */
void claim_director_handle_message(struct claim_director *director,
				   uint64_t from_node_id,
				   const struct claim_message *message,
				   int64_t now_ms)
{
	claim_holder_handle_message(director->holder, from_node_id, message,
				    now_ms);
	if (message->kind == CLAIM_MESSAGE_VERDICT)
		handle_verdict(director, from_node_id, message, now_ms);
}

static GPtrArray *open_rounds(const struct claim_director *director)
{
	GPtrArray *rounds = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->rounds);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(rounds, value);
	return rounds;
}

/*
 * Repeats requests to undecided holders and ends rounds that timed out. Returns
 * the time of the next call, or INT64_MAX if none is due before another event.
 */
int64_t claim_director_tick(struct claim_director *director, int64_t now_ms)
{
	int64_t next_ms = claim_holder_tick(director->holder, now_ms);
	GPtrArray *rounds = open_rounds(director);
	uint64_t epoch = claim_holder_roster(director->holder)->epoch;

	for (guint i = 0; i < rounds->len; i++) {
		struct claim_round *round = g_ptr_array_index(rounds, i);

		if (now_ms - round->requested_ms >= CLAIM_REQUEST_INTERVAL_MS ||
		    round->epoch != epoch)
			request_claims(director, round, now_ms);
		if (!finish_round_if_decided(director, round, now_ms))
			next_ms =
				MIN(next_ms, round->requested_ms +
						     CLAIM_REQUEST_INTERVAL_MS);
	}
	g_ptr_array_free(rounds, TRUE);
	return next_ms;
}
