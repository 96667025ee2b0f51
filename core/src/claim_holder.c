#include <core/claim_holder.h>

#include "claim_step.h"
#include <core/claim_table.h>
#include <glib.h>

#define FETCH_INTERVAL_MS 200
#define PROBE_PART 3

struct claim_holder {
	struct claim_holder_options options;
	struct claim_table *table;
	struct roster roster;
	uint64_t seen_epoch;
	int64_t began_ms;
	GArray *steps;
	int64_t heard_ms[ROSTER_MEMBERS_MAX];
	int64_t fetched_ms;
	int64_t probed_ms;
};

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

static struct claim_step *step_at(const struct claim_holder *holder,
				  guint index)
{
	return &g_array_index(holder->steps, struct claim_step, index);
}

static void send(struct claim_holder *holder, uint64_t to_node_id,
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
			send(holder, epoch->members[i].node_id, message);
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

static void fetch(struct claim_holder *holder, struct claim_step *step,
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
		send(holder, node_id, &message);
}

static void fetch_all(struct claim_holder *holder, int64_t now_ms)
{
	holder->fetched_ms = now_ms;
	for (guint i = 0; i < holder->steps->len; i++) {
		struct claim_step *step = step_at(holder, i);

		for (uint32_t j = 0; !claim_step_is_complete(step) &&
				     j < step->former.member_count;
		     j++)
			fetch(holder, step, j);
	}
}

static bool is_member(const struct claim_holder *holder)
{
	return holder->roster.epoch_count > 0 &&
	       roster_epoch_has(&holder->roster.epochs[0],
				holder->options.node_id);
}

/* Steps behind a complete one teach nothing more about any key. */
static void drop_old_steps(struct claim_holder *holder)
{
	guint complete_count = 0;

	while (complete_count < holder->steps->len &&
	       claim_step_is_complete(step_at(holder, complete_count)))
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
		holder->heard_ms[i] = INT64_MIN;
	if (!is_member(holder))
		return;
	drop_old_steps(holder);
	probe(holder, now_ms);
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
		if (!claim_step_is_complete(step_at(holder, i)))
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
		switch (claim_step_knowledge(step_at(holder, i - 1),
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

static void on_ask(struct claim_holder *holder, uint64_t from,
		   const struct claim_message *message, int64_t now_ms)
{
	struct claim_message answer = {
		.kind = CLAIM_MESSAGE_VERDICT,
		.key = message->key,
		.token = message->token,
		.verdict =
			claim_holder_ask(holder, message->epoch, message->key,
					 message->token, now_ms),
	};

	/* A verdict says which epoch it was given in. */
	send(holder, from, &answer);
}

static void on_release(struct claim_holder *holder, uint64_t from,
		       const struct claim_message *message, int64_t now_ms)
{
	if (message->token.node_id == from)
		claim_table_release(holder->table, message->key, message->token,
				    now_ms);
}

static bool is_of_interest(const struct claim_holder *holder, uint64_t node_id,
			   struct flow_print key)
{
	struct roster_holders holders =
		roster_holders_of(&holder->roster.epochs[0], key);

	return roster_holders_has(&holders, node_id);
}

/* Whether the node knows all claims made before its own epoch. */
static bool can_teach(const struct claim_holder *holder)
{
	for (guint i = 0; i < holder->steps->len; i++) {
		const struct claim_step *step = step_at(holder, i);

		if ((step->epoch < holder->roster.epoch || step->is_base) &&
		    !claim_step_is_complete(step))
			return false;
	}
	return holder->steps->len > 0;
}

static void fill_page(struct claim_holder *holder, uint64_t for_node_id,
		      struct claim_message *page, int64_t now_ms)
{
	struct claim_entry entry;

	while (page->entry_count < CLAIM_PAGE_ENTRIES_MAX) {
		if (!claim_table_next(holder->table, &page->cursor, &entry,
				      now_ms)) {
			page->is_last = true;
			return;
		}
		if (is_of_interest(holder, for_node_id, entry.key))
			page->entries[page->entry_count++] = entry;
	}
}

/*
 * Answers a fetch with the next page. A node that cannot teach says nothing;
 * the other one asks again.
 */
static void on_fetch(struct claim_holder *holder, uint64_t from,
		     const struct claim_message *message, int64_t now_ms)
{
	struct claim_message page = {
		.kind = CLAIM_MESSAGE_PAGE,
		.cursor = message->cursor,
		.token = message->token,
	};

	if (message->epoch != holder->roster.epoch ||
	    holder->seen_epoch != message->epoch || !can_teach(holder))
		return;
	fill_page(holder, from, &page, now_ms);
	send(holder, from, &page);
}

static struct claim_step *find_step(struct claim_holder *holder, uint64_t epoch)
{
	for (guint i = 0; i < holder->steps->len; i++) {
		if (step_at(holder, i)->epoch == epoch)
			return step_at(holder, i);
	}
	return NULL;
}

static bool merge_page(struct claim_holder *holder,
		       const struct claim_message *page, int64_t now_ms)
{
	claim_table_expire(holder->table, now_ms);
	for (uint32_t i = 0; i < page->entry_count; i++) {
		if (!claim_table_merge(holder->table, &page->entries[i],
				       now_ms))
			return false;
	}
	return true;
}

/* Takes in a page; one from another epoch may lack keys and is ignored. */
static void on_page(struct claim_holder *holder, uint64_t from,
		    const struct claim_message *message, int64_t now_ms)
{
	struct claim_step *step = find_step(holder, message->token.request_id);
	uint32_t index;

	if (!step || message->epoch != holder->roster.epoch)
		return;
	index = claim_step_index(step, from);
	if (index == step->former.member_count ||
	    !merge_page(holder, message, now_ms))
		return;
	step->cursors[index] = message->cursor;
	if (message->is_last)
		claim_step_fetched(step, from);
	else
		fetch(holder, step, index);
	drop_old_steps(holder);
}

static void on_probe(struct claim_holder *holder, uint64_t from,
		     const struct claim_message *message, int64_t now_ms)
{
	struct claim_message answer = {
		.kind = CLAIM_MESSAGE_PROBE_ANSWER,
		.sent_ms = message->sent_ms,
	};

	send(holder, from, &answer);
}

static void on_probe_answer(struct claim_holder *holder, uint64_t from,
			    const struct claim_message *message, int64_t now_ms)
{
	const struct roster_epoch *epoch = &holder->roster.epochs[0];

	if (message->epoch != holder->roster.epoch || message->sent_ms > now_ms)
		return;
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id == from)
			holder->heard_ms[i] =
				MAX(holder->heard_ms[i], message->sent_ms);
	}
}

static void on_roster(struct claim_holder *holder, uint64_t from,
		      const struct claim_message *message, int64_t now_ms)
{
	claim_holder_set_roster(holder, &message->roster, now_ms);
}

static void (*const handlers[CLAIM_MESSAGE_KIND_COUNT])(
	struct claim_holder *holder, uint64_t from,
	const struct claim_message *message, int64_t now_ms) = {
	[CLAIM_MESSAGE_ASK] = on_ask,
	[CLAIM_MESSAGE_RELEASE] = on_release,
	[CLAIM_MESSAGE_FETCH] = on_fetch,
	[CLAIM_MESSAGE_PAGE] = on_page,
	[CLAIM_MESSAGE_PROBE] = on_probe,
	[CLAIM_MESSAGE_PROBE_ANSWER] = on_probe_answer,
	[CLAIM_MESSAGE_ROSTER] = on_roster,
};

/* Whoever lags behind the sender says so; whoever is ahead sends its roster. */
static void compare_epochs(struct claim_holder *holder, uint64_t from,
			   const struct claim_message *message, int64_t now_ms)
{
	struct claim_message roster = {.kind = CLAIM_MESSAGE_ROSTER};
	struct claim_message behind = {
		.kind = CLAIM_MESSAGE_PROBE,
		.sent_ms = now_ms,
	};

	holder->seen_epoch = MAX(holder->seen_epoch, message->epoch);
	if (message->kind == CLAIM_MESSAGE_ROSTER)
		return;
	if (message->epoch < holder->roster.epoch) {
		roster.roster = holder->roster;
		send(holder, from, &roster);
	} else if (message->epoch > holder->roster.epoch &&
		   message->kind != CLAIM_MESSAGE_PROBE) {
		send(holder, from, &behind);
	}
}

/* Takes a message of another node; a verdict is for the node's own rounds. */
void claim_holder_message(struct claim_holder *holder, uint64_t from_node_id,
			  const struct claim_message *message, int64_t now_ms)
{
	for (guint i = 0; i < holder->steps->len; i++) {
		if (message->epoch >= step_at(holder, i)->epoch)
			claim_step_confirmed(step_at(holder, i), from_node_id,
					     now_ms);
	}
	compare_epochs(holder, from_node_id, message, now_ms);
	if (handlers[message->kind])
		handlers[message->kind](holder, from_node_id, message, now_ms);
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
		struct claim_step *step = step_at(holder, i);
		int64_t since_ms = step->former.member_count
					   ? step->confirmed_ms
					   : holder->began_ms;

		if (since_ms != 0 && now_ms - since_ms >= span_ms)
			step->is_done = true;
	}
}

/* Renews the lease, asks again for what is missing and forgets old claims. */
void claim_holder_tick(struct claim_holder *holder, int64_t now_ms)
{
	claim_table_expire(holder->table, now_ms);
	if (!is_member(holder))
		return;
	outlast(holder, now_ms);
	drop_old_steps(holder);
	if (now_ms - holder->probed_ms >= holder->options.lease_ms / PROBE_PART)
		probe(holder, now_ms);
	if (!claim_holder_is_complete(holder) &&
	    now_ms - holder->fetched_ms >= FETCH_INTERVAL_MS)
		fetch_all(holder, now_ms);
}
