#include "claim_holder_state.h"

#define FETCH_INTERVAL_MS 200
#define FETCH_INTERVAL_MAX_MS 6400
#define PROBES_PER_LEASE 3
#define NO_LEASE_PROBE_INTERVAL_MS 1000
#define NEVER_REPLIED_MS INT64_MIN

/*
 * Creates a holder without a roster, whose verdicts are CLAIM_VERDICT_UNREADY.
 * Free it with claim_holder_free.
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
	holder->transfers =
		g_array_new(FALSE, FALSE, sizeof(struct claim_transfer));
	return holder;
}

/* Frees the holder; NULL is allowed. */
void claim_holder_free(struct claim_holder *holder)
{
	if (!holder)
		return;
	claim_table_free(holder->table);
	g_array_free(holder->transfers, TRUE);
	g_free(holder);
}

/* Returns the transfer at an index, oldest first. */
struct claim_transfer *claim_holder_transfer(const struct claim_holder *holder,
					     guint index)
{
	return &g_array_index(holder->transfers, struct claim_transfer, index);
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

	holder->last_probe_ms = now_ms;
	send_to_members(holder, &holder->roster.epochs[0], &message);
}

/*
 * Probes a member that is in this epoch but has not replied to a probe in it.
 * Otherwise, when nodes receive a roster at different times, a node would get
 * its lease only after its next periodic probes.
 */
void claim_holder_probe_unconfirmed(struct claim_holder *holder,
				    uint64_t node_id, int64_t now_ms)
{
	const struct roster_epoch *epoch = &holder->roster.epochs[0];
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_PROBE,
		.sent_ms = now_ms,
	};

	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id == node_id &&
		    holder->replied_ms[i] == NEVER_REPLIED_MS)
			claim_holder_send(holder, node_id, &message);
	}
}

/* Requests the next page of claims from one previous member. */
void claim_holder_fetch(struct claim_holder *holder,
			struct claim_transfer *transfer, uint32_t index)
{
	uint64_t node_id = transfer->previous.members[index].node_id;
	struct claim_message message = {
		.kind = CLAIM_MESSAGE_FETCH,
		.cursor = transfer->cursors[index],
		.token = {.request_id = transfer->epoch},
	};

	if (node_id != holder->options.node_id &&
	    !(transfer->fetched_mask & (1U << index)))
		claim_holder_send(holder, node_id, &message);
}

static void fetch_all(struct claim_holder *holder, int64_t now_ms)
{
	holder->last_fetch_ms = now_ms;
	for (guint i = 0; i < holder->transfers->len; i++) {
		struct claim_transfer *transfer =
			claim_holder_transfer(holder, i);

		for (uint32_t j = 0; !claim_transfer_is_complete(transfer) &&
				     j < transfer->previous.member_count;
		     j++)
			claim_holder_fetch(holder, transfer, j);
	}
}

static void increase_fetch_interval(struct claim_holder *holder)
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

/*
 * Drops complete transfers from the oldest on, which have no further effect.
 * The newest transfer stays even if complete, because a holder without
 * transfers counts as one without a roster.
 */
void claim_holder_drop_transfers(struct claim_holder *holder)
{
	guint complete_count = 0;

	while (complete_count < holder->transfers->len &&
	       claim_transfer_is_complete(
		       claim_holder_transfer(holder, complete_count)))
		complete_count++;
	if (complete_count == holder->transfers->len && complete_count > 0)
		complete_count--;
	if (complete_count > 0)
		g_array_remove_range(holder->transfers, 0, complete_count);
}

/*
 * Adds the transfer to an epoch. Except in a bootstrap, the node has its own
 * claims from the previous epoch and need not fetch them.
 */
static void add_transfer(struct claim_holder *holder,
			 const struct roster *roster, uint64_t epoch,
			 bool is_bootstrap, int64_t now_ms)
{
	struct claim_transfer transfer;

	claim_transfer_init(&transfer, roster, epoch, is_bootstrap);
	if (!is_bootstrap)
		claim_transfer_set_fetched(&transfer, holder->options.node_id);
	claim_transfer_set_confirmed(&transfer, holder->options.node_id,
				     now_ms);
	g_array_append_val(holder->transfers, transfer);
}

/*
 * Applies a newer roster; an older or equal one is ignored. Claims requested in
 * earlier epochs get CLAIM_VERDICT_UNREADY from now on.
 */
void claim_holder_set_roster(struct claim_holder *holder,
			     const struct roster *roster, int64_t now_ms)
{
	uint64_t first = holder->roster.epoch + 1;
	bool is_bootstrap = false;

	if (roster->epoch_count == 0 || roster->epoch <= holder->roster.epoch)
		return;
	if (holder->roster.epoch == 0 ||
	    roster->epoch - holder->roster.epoch >= roster->epoch_count) {
		g_array_set_size(holder->transfers, 0);
		first = roster->epoch;
		is_bootstrap = true;
	}
	for (uint64_t epoch = first; epoch <= roster->epoch; epoch++)
		add_transfer(holder, roster, epoch, is_bootstrap, now_ms);
	holder->roster = *roster;
	holder->max_seen_epoch = MAX(holder->max_seen_epoch, roster->epoch);
	holder->epoch_started_ms = now_ms;
	for (uint32_t i = 0; i < ROSTER_MEMBERS_MAX; i++)
		holder->replied_ms[i] = NEVER_REPLIED_MS;
	if (!is_member(holder))
		return;
	claim_holder_drop_transfers(holder);
	probe(holder, now_ms);
	holder->fetch_interval_ms = FETCH_INTERVAL_MS;
	fetch_all(holder, now_ms);
}

/* Returns the node's roster; its epoch is 0 when the node has none. */
const struct roster *claim_holder_roster(const struct claim_holder *holder)
{
	return &holder->roster;
}

/* Returns whether the node has all claims on its keys. */
bool claim_holder_is_complete(const struct claim_holder *holder)
{
	if (holder->transfers->len == 0)
		return false;
	for (guint i = 0; i < holder->transfers->len; i++) {
		if (!claim_transfer_is_complete(
			    claim_holder_transfer(holder, i)))
			return false;
	}
	return true;
}

/* Returns whether a majority of members confirmed this epoch in lease_ms. */
static bool has_lease(const struct claim_holder *holder, int64_t now_ms)
{
	const struct roster_epoch *epoch = &holder->roster.epochs[0];
	int64_t oldest_ms = now_ms - holder->options.lease_ms;
	uint32_t replied_count = 0;

	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id == holder->options.node_id ||
		    holder->replied_ms[i] >= oldest_ms)
			replied_count++;
	}
	return replied_count >= roster_majority(epoch->member_count);
}

/*
 * Returns whether the node has all claims on a key: some transfer gave it all
 * of them, and it has held the key in every epoch since.
 */
static bool has_all_claims(const struct claim_holder *holder,
			   struct hash128 key)
{
	for (guint i = holder->transfers->len; i > 0; i--) {
		switch (claim_transfer_coverage(
			claim_holder_transfer(holder, i - 1),
			holder->options.node_id, key)) {
		case COVERAGE_NONE:
			return false;
		case COVERAGE_RETAINED:
			break;
		case COVERAGE_COMPLETE:
			return true;
		}
	}
	return holder->transfers->len > 0;
}

/* Returns whether the node may decide on the key in the request's epoch. */
static bool may_decide(const struct claim_holder *holder, uint64_t epoch,
		       struct hash128 key, int64_t now_ms)
{
	struct roster_holders holders;

	if (epoch == 0 || epoch != holder->roster.epoch ||
	    holder->max_seen_epoch > epoch || !has_lease(holder, now_ms))
		return false;
	holders = roster_holders_of(&holder->roster.epochs[0], key);
	return roster_holders_has(&holders, holder->options.node_id) &&
	       has_all_claims(holder, key);
}

/*
 * Decides whether a token may claim a key. Returns CLAIM_VERDICT_UNREADY when
 * the node may lack claims, does not hold the key, is not in the request's
 * epoch, or has no lease, and when its claim table is full.
 */
enum claim_verdict claim_holder_decide(struct claim_holder *holder,
				       uint64_t epoch, struct hash128 key,
				       struct claim_token token, int64_t now_ms)
{
	if (!may_decide(holder, epoch, key, now_ms))
		return CLAIM_VERDICT_UNREADY;
	return claim_table_claim(holder->table, key, token, now_ms);
}

/*
 * Completes transfers by timeout. Once a previous holder's lease and then a
 * claim's lifetime have passed, every claim that the node has not fetched from
 * earlier epochs has expired.
 */
static void complete_expired_transfers(struct claim_holder *holder,
				       int64_t now_ms)
{
	int64_t span_ms =
		(int64_t)holder->options.lease_ms + holder->options.lifetime_ms;

	for (guint i = 0; i < holder->transfers->len; i++) {
		struct claim_transfer *transfer =
			claim_holder_transfer(holder, i);
		int64_t since_ms = transfer->previous.member_count
					   ? transfer->confirmed_ms
					   : holder->epoch_started_ms;

		if (since_ms != 0 && now_ms - since_ms >= span_ms)
			transfer->needs_no_fetch = true;
	}
}

/*
 * Sends the probes that renew the lease, repeats fetches without a reply and
 * removes expired claims. Returns the time of the next call, or INT64_MAX if
 * none is due before another event.
 */
int64_t claim_holder_tick(struct claim_holder *holder, int64_t now_ms)
{
	uint32_t probe_interval_ms = NO_LEASE_PROBE_INTERVAL_MS;

	claim_table_expire(holder->table, now_ms);
	if (!is_member(holder))
		return INT64_MAX;
	complete_expired_transfers(holder, now_ms);
	claim_holder_drop_transfers(holder);
	if (has_lease(holder, now_ms))
		probe_interval_ms = holder->options.lease_ms / PROBES_PER_LEASE;
	if (now_ms - holder->last_probe_ms >= probe_interval_ms)
		probe(holder, now_ms);
	if (claim_holder_is_complete(holder))
		return holder->last_probe_ms + probe_interval_ms;
	if (now_ms - holder->last_fetch_ms >= holder->fetch_interval_ms) {
		fetch_all(holder, now_ms);
		increase_fetch_interval(holder);
	}
	return MIN(holder->last_probe_ms + probe_interval_ms,
		   holder->last_fetch_ms + holder->fetch_interval_ms);
}
