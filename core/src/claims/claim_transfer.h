#ifndef CORE_CLAIM_TRANSFER_H
#define CORE_CLAIM_TRANSFER_H

#include <core/roster.h>

/* Which claims on a key the node has after a transfer. */
enum claim_coverage {
	COVERAGE_NONE,
	/* The node held the key in the previous epoch and keeps its claims. */
	COVERAGE_RETAINED,
	/* The node has all claims made before the transfer's epoch. */
	COVERAGE_COMPLETE,
};

/*
 * The state transfer that a holder needs to enter an epoch: it fetches the
 * claims on its new keys from a majority of the nodes that held them in the
 * previous epoch. Bit i of the masks stands for previous.members[i]:
 * fetched_mask has the members that sent all their claims, confirmed_mask those
 * that reached the transfer's epoch. confirmed_ms is when a majority had, or 0.
 * A bootstrap transfer is the first of a node whose previous roster is unknown
 * or too old, so the node's own claims do not count. needs_no_fetch is set in
 * epoch 1, which has no earlier claims, and when all of them have expired.
 */
struct claim_transfer {
	uint64_t epoch;
	struct roster_epoch previous;
	uint32_t fetched_mask;
	uint32_t confirmed_mask;
	uint64_t cursors[ROSTER_MEMBERS_MAX];
	int64_t confirmed_ms;
	bool is_bootstrap;
	bool needs_no_fetch;
};

void claim_transfer_init(struct claim_transfer *transfer,
			 const struct roster *roster, uint64_t epoch,
			 bool is_bootstrap);
enum claim_coverage
claim_transfer_coverage(const struct claim_transfer *transfer,
			uint64_t own_node_id, struct hash128 key);
uint32_t claim_transfer_source_index(const struct claim_transfer *transfer,
				     uint64_t node_id);
bool claim_transfer_is_complete(const struct claim_transfer *transfer);
void claim_transfer_set_fetched(struct claim_transfer *transfer,
				uint64_t node_id);
void claim_transfer_set_confirmed(struct claim_transfer *transfer,
				  uint64_t node_id, int64_t now_ms);

#endif
