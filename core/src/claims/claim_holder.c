#include "claim_holder_state.h"

#define FETCH_INTERVAL_MS 200
#define FETCH_INTERVAL_MAX_MS 6400
#define PROBE_PART 3
#define NO_LEASE_PROBE_MS 1000
#define HEARD_NEVER_MS INT64_MIN

/*
 * Makes a holder without a roster, which decides nothing. The caller frees it
 * with claim_holder_free.
 */
struct claim_holder *
claim_holder_new(const struct claim_holder_options *options)
{
	struct claim_holder *holder = g_new0(struct claim_holder, 1);
	struct claim_table_options table_options = {
		.capacity = options->capacity,
		.lifetime_ms = options->lifetime_ms,
	};

	holder->options = *options;
	holder->table = claim_table_new(&table_options);
	holder->steps = g_array_new(FALSE, FALSE, sizeof(struct claim_step));
	return holder;
}

/* Frees the holder; NULL is allowed. */
void claim_holder_free(struct claim_holder *holder)
{
	if (!holder)
		return;
	claim_table_free(holder->table);
	g_array_free(holder->steps, TRUE);
	g_free(holder);
}

/* Returns the step at an index, oldest first. */
struct claim_step *claim_holder_step(const struct claim_holder *holder,
				     guint index)
{
	return &g_array_index(holder->steps, struct claim_step, index);
}

/* Sends a message in the node's own epoch. */
void claim_holder_send(struct claim_holder *holder, uint64_t to_node_id,
		       struct claim_message *message)
{
	message->epoch = holder->roster.epoch;
	holder->options.send(holder->options.context, to_node_id, message);
}

static void send_to_members(struct claim_holder *holder,
			    const struct roster_epoch *epoch,
			    struct claim_message *message)
{
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id != holder->options.node_id)
			claim_holder_send(holder, epoch->members[i].node_id,
					  message);
	}
}

static void probe(struct claim_holder *holder, int64_t now_ms)
{
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_PROBE,
		.sent_ms = now_ms,
	};

	holder->probed_ms = now_ms;
	send_to_members(holder, &holder->roster.epochs[0], &message);
}

/*
 * Probes a member that has come to this epoch after its last answer. Without
 * it the lease of a roster that spreads unevenly would wait for the next round
 * of probes.
 */
void claim_holder_probe_back(struct claim_holder *holder, uint64_t node_id,
			     int64_t now_ms)
{
	const struct roster_epoch *epoch = &holder->roster.epochs[0];
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_PROBE,
		.sent_ms = now_ms,
	};

	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id == node_id &&
		    holder->heard_ms[i] == HEARD_NEVER_MS)
			claim_holder_send(holder, node_id, &message);
	}
}

/* Asks one former member for the claims that it has not sent yet. */
void claim_holder_fetch(struct claim_holder *holder, struct claim_step *step,
			uint32_t index)
{
	uint64_t node_id = step->former.members[index].node_id;
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_FETCH,
		.cursor = step->cursors[index],
		.token = {.request_id = step->epoch},
	};

	if (node_id != holder->options.node_id &&
	    !(step->fetched_mask & (1U << index)))
		claim_holder_send(holder, node_id, &message);
}

static void fetch_all(struct claim_holder *holder, int64_t now_ms)
{
	holder->fetched_ms = now_ms;
	for (guint i = 0; i < holder->steps->len; i++) {
		struct claim_step *step = claim_holder_step(holder, i);

		for (uint32_t j = 0; !claim_step_is_complete(step) &&
				     j < step->former.member_count;
		     j++)
			claim_holder_fetch(holder, step, j);
	}
}

static void lengthen_fetch_interval(struct claim_holder *holder)
{
	holder->fetch_interval_ms =
		MIN(holder->fetch_interval_ms * 2, FETCH_INTERVAL_MAX_MS);
}

static bool is_member(const struct claim_holder *holder)
{
	return holder->roster.epoch_count > 0 &&
	       roster_epoch_has(&holder->roster.epochs[0],
				holder->options.node_id);
}

/* Forgets steps behind a complete one: they teach nothing more. */
void claim_holder_drop_steps(struct claim_holder *holder)
{
	guint complete_count = 0;

	while (complete_count < holder->steps->len &&
	       claim_step_is_complete(
		       claim_holder_step(holder, complete_count)))
		complete_count++;
	if (complete_count == holder->steps->len && complete_count > 0)
		complete_count--;
	if (complete_count > 0)
		g_array_remove_range(holder->steps, 0, complete_count);
}

/* A member of the epoch before knows its own claims without a fetch. */
static void add_step(struct claim_holder *holder, const struct roster *roster,
		     uint64_t epoch, bool is_base, int64_t now_ms)
{
	struct claim_step step;

	claim_step_init(&step, roster, epoch, is_base);
	if (!is_base)
		claim_step_fetched(&step, holder->options.node_id);
	claim_step_confirmed(&step, holder->options.node_id, now_ms);
	g_array_append_val(holder->steps, step);
}

/*
 * Takes a newer roster; an older or equal one is ignored. From here on the
 * node refuses what is asked in the epochs before.
 */
void claim_holder_set_roster(struct claim_holder *holder,
			     const struct roster *roster, int64_t now_ms)
{
	uint64_t first = holder->roster.epoch + 1;
	bool is_base = false;

	if (roster->epoch_count == 0 || roster->epoch <= holder->roster.epoch)
		return;
	if (holder->roster.epoch == 0 ||
	    roster->epoch - holder->roster.epoch >= roster->epoch_count) {
		g_array_set_size(holder->steps, 0);
		first = roster->epoch;
		is_base = true;
	}
	for (uint64_t epoch = first; epoch <= roster->epoch; epoch++)
		add_step(holder, roster, epoch, is_base, now_ms);
	holder->roster = *roster;
	holder->seen_epoch = MAX(holder->seen_epoch, roster->epoch);
	holder->began_ms = now_ms;
	for (uint32_t i = 0; i < ROSTER_MEMBERS_MAX; i++)
		holder->heard_ms[i] = HEARD_NEVER_MS;
	if (!is_member(holder))
		return;
	claim_holder_drop_steps(holder);
	probe(holder, now_ms);
	holder->fetch_interval_ms = FETCH_INTERVAL_MS;
	fetch_all(holder, now_ms);
}

/* Returns the roster that the node has; its epoch is 0 when it has none. */
const struct roster *claim_holder_roster(const struct claim_holder *holder)
{
	return &holder->roster;
}

/* Tells whether the node knows all claims of all its keys. */
bool claim_holder_is_complete(const struct claim_holder *holder)
{
	if (holder->steps->len == 0)
		return false;
	for (guint i = 0; i < holder->steps->len; i++) {
		if (!claim_step_is_complete(claim_holder_step(holder, i)))
			return false;
	}
	return true;
}

/* Whether a majority of the members was in this epoch a lease ago or later. */
static bool has_lease(const struct claim_holder *holder, int64_t now_ms)
{
	const struct roster_epoch *epoch = &holder->roster.epochs[0];
	int64_t oldest_ms = now_ms - holder->options.lease_ms;
	uint32_t heard_count = 0;

	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id == holder->options.node_id ||
		    holder->heard_ms[i] >= oldest_ms)
			heard_count++;
	}
	return heard_count >= roster_majority(epoch->member_count);
}

/* Goes back step by step until one taught the node all about the key. */
static bool knows(const struct claim_holder *holder, struct flow_print key)
{
	for (guint i = holder->steps->len; i > 0; i--) {
		switch (claim_step_knowledge(claim_holder_step(holder, i - 1),
					     holder->options.node_id, key)) {
		case KNOWLEDGE_NONE:
			return false;
		case KNOWLEDGE_KEPT:
			break;
		case KNOWLEDGE_WHOLE:
			return true;
		}
	}
	return holder->steps->len > 0;
}

/* Whether the node may decide on the key in the epoch that is asked for. */
static bool may_decide(const struct claim_holder *holder, uint64_t epoch,
		       struct flow_print key, int64_t now_ms)
{
	struct roster_holders holders;

	if (epoch == 0 || epoch != holder->roster.epoch ||
	    holder->seen_epoch > epoch || !has_lease(holder, now_ms))
		return false;
	holders = roster_holders_of(&holder->roster.epochs[0], key);
	return roster_holders_has(&holders, holder->options.node_id) &&
	       knows(holder, key);
}

/*
 * Decides whether a token may have a key. Answers CLAIM_VERDICT_UNREADY where
 * the node cannot know, is not in the epoch of the ask, or lost its lease.
 */
enum claim_verdict claim_holder_ask(struct claim_holder *holder, uint64_t epoch,
				    struct flow_print key,
				    struct claim_token token, int64_t now_ms)
{
	if (!may_decide(holder, epoch, key, now_ms))
		return CLAIM_VERDICT_UNREADY;
	return claim_table_claim(holder->table, key, token, now_ms);
}

/*
 * By the time a former holder's lease and then a claim's lifetime are over,
 * no claim of the epochs before is alive that the node could have missed.
 */
static void outlast(struct claim_holder *holder, int64_t now_ms)
{
	int64_t span_ms =
		(int64_t)holder->options.lease_ms + holder->options.lifetime_ms;

	for (guint i = 0; i < holder->steps->len; i++) {
		struct claim_step *step = claim_holder_step(holder, i);
		int64_t since_ms = step->former.member_count
					   ? step->confirmed_ms
					   : holder->began_ms;

		if (since_ms != 0 && now_ms - since_ms >= span_ms)
			step->is_done = true;
	}
}

/*
 * Renews the lease, asks again for what is missing and forgets old claims.
 * Returns when to be called next, INT64_MAX for not before another event.
 */
int64_t claim_holder_tick(struct claim_holder *holder, int64_t now_ms)
{
	uint32_t probe_interval_ms = NO_LEASE_PROBE_MS;

	claim_table_expire(holder->table, now_ms);
	if (!is_member(holder))
		return INT64_MAX;
	outlast(holder, now_ms);
	claim_holder_drop_steps(holder);
	if (has_lease(holder, now_ms))
		probe_interval_ms = holder->options.lease_ms / PROBE_PART;
	if (now_ms - holder->probed_ms >= probe_interval_ms)
		probe(holder, now_ms);
	if (claim_holder_is_complete(holder))
		return holder->probed_ms + probe_interval_ms;
	if (now_ms - holder->fetched_ms >= holder->fetch_interval_ms) {
		fetch_all(holder, now_ms);
		lengthen_fetch_interval(holder);
	}
	return MIN(holder->probed_ms + probe_interval_ms,
		   holder->fetched_ms + holder->fetch_interval_ms);
}
