#include "claim_transfer.h"

/*
 * Starts the transfer to an epoch of the roster. previous is empty when the
 * roster no longer lists the members of the previous epoch.
 */
void claim_transfer_init(struct claim_transfer *transfer,
			 const struct roster *roster, uint64_t epoch,
			 bool is_bootstrap)
{
	const struct roster_epoch *previous =
		roster_epoch_at(roster, epoch - 1);

	*transfer = (struct claim_transfer){.epoch = epoch,
					    .is_bootstrap = is_bootstrap,
					    .needs_no_fetch = epoch == 1};
	if (previous)
		transfer->previous = *previous;
}

/* Returns a node's index in the previous members, or their count if absent. */
uint32_t claim_transfer_source_index(const struct claim_transfer *transfer,
				     uint64_t node_id)
{
	uint32_t index = 0;

	while (index < transfer->previous.member_count &&
	       transfer->previous.members[index].node_id != node_id)
		index++;
	return index;
}

static uint32_t source_bit(const struct claim_transfer *transfer,
			   uint64_t node_id)
{
	uint32_t index = claim_transfer_source_index(transfer, node_id);

	return index < transfer->previous.member_count ? 1U << index : 0;
}

/*
 * Returns which claims on a key the node has after this transfer. A node that
 * held the key in the previous epoch need not fetch: any majority of the new
 * holders includes a node that has the claim. Another node must fetch from a
 * majority of the previous holders.
 */
enum claim_coverage
claim_transfer_coverage(const struct claim_transfer *transfer,
			uint64_t own_node_id, struct hash128 key)
{
	struct roster_holders holders;
	uint32_t fetched_count = 0;

	if (transfer->needs_no_fetch)
		return COVERAGE_COMPLETE;
	if (transfer->previous.member_count == 0)
		return COVERAGE_NONE;
	holders = roster_holders_of(&transfer->previous, key);
	if (!transfer->is_bootstrap &&
	    roster_holders_has(&holders, own_node_id))
		return COVERAGE_RETAINED;
	for (uint32_t i = 0; i < holders.count; i++) {
		if (transfer->fetched_mask &
		    source_bit(transfer, holders.node_ids[i]))
			fetched_count++;
	}
	return fetched_count >= roster_majority(holders.count)
		       ? COVERAGE_COMPLETE
		       : COVERAGE_NONE;
}

/*
 * Returns how many previous members may be missing while every key still has a
 * majority of its previous holders among the fetched ones.
 */
static uint32_t max_missing(const struct claim_transfer *transfer)
{
	uint32_t holder_count =
		transfer->previous.member_count < ROSTER_HOLDERS_MAX
			? transfer->previous.member_count
			: ROSTER_HOLDERS_MAX;

	return holder_count - roster_majority(holder_count);
}

/* Returns whether the node has all claims from before the transfer's epoch. */
bool claim_transfer_is_complete(const struct claim_transfer *transfer)
{
	uint32_t fetched_count =
		(uint32_t)__builtin_popcount(transfer->fetched_mask);

	if (transfer->needs_no_fetch)
		return true;
	return transfer->previous.member_count > 0 &&
	       fetched_count + max_missing(transfer) >=
		       transfer->previous.member_count;
}

/* Records that a previous member has sent its last page of claims. */
void claim_transfer_set_fetched(struct claim_transfer *transfer,
				uint64_t node_id)
{
	transfer->fetched_mask |= source_bit(transfer, node_id);
}

/*
 * Records that a previous member has reached the transfer's epoch or a later
 * one. Once a majority has, no holder can renew its lease in the previous
 * epoch.
 */
void claim_transfer_set_confirmed(struct claim_transfer *transfer,
				  uint64_t node_id, int64_t now_ms)
{
	uint32_t majority = roster_majority(transfer->previous.member_count);

	transfer->confirmed_mask |= source_bit(transfer, node_id);
	if (transfer->confirmed_ms == 0 &&
	    (uint32_t)__builtin_popcount(transfer->confirmed_mask) >= majority)
		transfer->confirmed_ms = now_ms;
}
