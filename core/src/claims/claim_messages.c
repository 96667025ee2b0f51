/* Handlers for the messages that a claim holder receives from other nodes. */
#include "claim_holder_state.h"

static void handle_request(struct claim_holder *holder, uint64_t from_node_id,
			   const struct claim_message *message, int64_t now_ms)
{
	struct claim_message reply = {
		.kind = CLAIM_MESSAGE_VERDICT,
		.key = message->key,
		.token = message->token,
		.verdict = claim_holder_decide(holder, message->epoch,
					       message->key, message->token,
					       now_ms),
	};

	/* claim_holder_send adds the epoch in which the verdict was made. */
	claim_holder_send(holder, from_node_id, &reply);
}

static void handle_release(struct claim_holder *holder, uint64_t from_node_id,
			   const struct claim_message *message, int64_t now_ms)
{
	if (message->token.node_id == from_node_id)
		claim_table_release(holder->table, message->key, message->token,
				    now_ms);
}

static bool is_held_by(const struct claim_holder *holder, uint64_t node_id,
		       struct hash128 key)
{
	struct roster_holders holders =
		roster_holders_of(&holder->roster.epochs[0], key);

	return roster_holders_has(&holders, node_id);
}

/* Returns whether the node has all claims made before its current epoch. */
static bool can_serve_fetch(const struct claim_holder *holder)
{
	for (guint i = 0; i < holder->transfers->len; i++) {
		const struct claim_transfer *transfer =
			claim_holder_transfer(holder, i);

		if ((transfer->epoch < holder->roster.epoch ||
		     transfer->is_bootstrap) &&
		    !claim_transfer_is_complete(transfer))
			return false;
	}
	return holder->transfers->len > 0;
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
		if (is_held_by(holder, for_node_id, entry.key))
			page->entries[page->entry_count++] = entry;
	}
}

/*
 * Sends the next page of claims. A node that has not fetched all claims itself
 * does not reply; the requester retries.
 */
static void handle_fetch(struct claim_holder *holder, uint64_t from_node_id,
			 const struct claim_message *message, int64_t now_ms)
{
	struct claim_message page = {
		.kind = CLAIM_MESSAGE_PAGE,
		.cursor = message->cursor,
		.token = message->token,
	};

	if (message->epoch != holder->roster.epoch ||
	    holder->max_seen_epoch != message->epoch ||
	    !can_serve_fetch(holder))
		return;
	fill_page(holder, from_node_id, &page, now_ms);
	claim_holder_send(holder, from_node_id, &page);
}

static struct claim_transfer *find_transfer(struct claim_holder *holder,
					    uint64_t epoch)
{
	for (guint i = 0; i < holder->transfers->len; i++) {
		if (claim_holder_transfer(holder, i)->epoch == epoch)
			return claim_holder_transfer(holder, i);
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

/* Merges a page. A page from another epoch may lack claims and is ignored. */
static void handle_page(struct claim_holder *holder, uint64_t from_node_id,
			const struct claim_message *message, int64_t now_ms)
{
	struct claim_transfer *transfer =
		find_transfer(holder, message->token.request_id);
	uint32_t index;

	if (!transfer || message->epoch != holder->roster.epoch)
		return;
	index = claim_transfer_source_index(transfer, from_node_id);
	if (index == transfer->previous.member_count ||
	    !merge_page(holder, message, now_ms))
		return;
	transfer->cursors[index] = message->cursor;
	if (message->is_last)
		claim_transfer_set_fetched(transfer, from_node_id);
	else
		claim_holder_fetch(holder, transfer, index);
	claim_holder_drop_transfers(holder);
}

static void handle_probe(struct claim_holder *holder, uint64_t from_node_id,
			 const struct claim_message *message, int64_t now_ms)
{
	struct claim_message reply = {
		.kind = CLAIM_MESSAGE_PROBE_REPLY,
		.sent_ms = message->sent_ms,
	};

	claim_holder_send(holder, from_node_id, &reply);
	if (message->epoch == holder->roster.epoch)
		claim_holder_probe_unconfirmed(holder, from_node_id, now_ms);
}

static void handle_probe_reply(struct claim_holder *holder,
			       uint64_t from_node_id,
			       const struct claim_message *message,
			       int64_t now_ms)
{
	const struct roster_epoch *epoch = &holder->roster.epochs[0];

	if (message->epoch != holder->roster.epoch || message->sent_ms > now_ms)
		return;
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id == from_node_id)
			holder->replied_ms[i] =
				MAX(holder->replied_ms[i], message->sent_ms);
	}
}

static void handle_roster(struct claim_holder *holder, uint64_t from_node_id,
			  const struct claim_message *message, int64_t now_ms)
{
	claim_holder_set_roster(holder, &message->roster, now_ms);
}

static void (*const handlers[CLAIM_MESSAGE_KIND_COUNT])(
	struct claim_holder *holder, uint64_t from_node_id,
	const struct claim_message *message, int64_t now_ms) = {
	[CLAIM_MESSAGE_REQUEST] = handle_request,
	[CLAIM_MESSAGE_RELEASE] = handle_release,
	[CLAIM_MESSAGE_FETCH] = handle_fetch,
	[CLAIM_MESSAGE_PAGE] = handle_page,
	[CLAIM_MESSAGE_PROBE] = handle_probe,
	[CLAIM_MESSAGE_PROBE_REPLY] = handle_probe_reply,
	[CLAIM_MESSAGE_ROSTER] = handle_roster,
};

/*
 * Brings both nodes to the newer epoch: sends the roster to a sender in an
 * older epoch, and probes one in a newer epoch so that it sends its roster.
 */
static void compare_epochs(struct claim_holder *holder, uint64_t from_node_id,
			   const struct claim_message *message, int64_t now_ms)
{
	struct claim_message roster = {.kind = CLAIM_MESSAGE_ROSTER};
	struct claim_message probe = {
		.kind = CLAIM_MESSAGE_PROBE,
		.sent_ms = now_ms,
	};

	holder->max_seen_epoch = MAX(holder->max_seen_epoch, message->epoch);
	if (message->kind == CLAIM_MESSAGE_ROSTER)
		return;
	if (message->epoch < holder->roster.epoch) {
		roster.roster = holder->roster;
		claim_holder_send(holder, from_node_id, &roster);
	} else if (message->epoch > holder->roster.epoch &&
		   message->kind != CLAIM_MESSAGE_PROBE) {
		claim_holder_send(holder, from_node_id, &probe);
	}
}

/* Handles a message from another node; claim_director.c handles verdicts. */
void claim_holder_handle_message(struct claim_holder *holder,
				 uint64_t from_node_id,
				 const struct claim_message *message,
				 int64_t now_ms)
{
	for (guint i = 0; i < holder->transfers->len; i++) {
		if (message->epoch >= claim_holder_transfer(holder, i)->epoch)
			claim_transfer_set_confirmed(
				claim_holder_transfer(holder, i), from_node_id,
				now_ms);
	}
	compare_epochs(holder, from_node_id, message, now_ms);
	if (handlers[message->kind])
		handlers[message->kind](holder, from_node_id, message, now_ms);
}
