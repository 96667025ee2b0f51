#ifndef CORE_ROSTER_H
#define CORE_ROSTER_H

#include <core/flow_key.h>
#include <stdbool.h>
#include <stdint.h>

#define ROSTER_MEMBERS_MAX 32
#define ROSTER_EPOCHS_MAX 4
#define ROSTER_HOLDERS_MAX 3

/* A node that holds claims, as the roster lists it. */
struct roster_member {
	uint64_t node_id;
	uint32_t zone_id;
};

/* The members of one epoch, sorted by node id. */
struct roster_epoch {
	uint32_t member_count;
	struct roster_member members[ROSTER_MEMBERS_MAX];
};

/*
 * The agreed list of nodes that hold claims on idempotency keys. Nodes publish
 * it by compare-and-swap in the platform's key-value store, so there is exactly
 * one roster for each epoch, and epochs only increase. epochs[0] has the
 * members of epoch, epochs[1] those of epoch - 1, and so on; the first epoch
 * is 1.
 */
struct roster {
	uint64_t epoch;
	uint32_t epoch_count;
	struct roster_epoch epochs[ROSTER_EPOCHS_MAX];
};

/* The members that hold a key's claim. */
struct roster_holders {
	uint32_t count;
	uint64_t node_ids[ROSTER_HOLDERS_MAX];
};

bool roster_next(struct roster *next, const struct roster *roster,
		 const struct roster_member *members, uint32_t member_count);
const struct roster_epoch *roster_epoch_at(const struct roster *roster,
					   uint64_t epoch);
struct roster_holders roster_holders_of(const struct roster_epoch *epoch,
					struct hash128 key);
bool roster_holders_has(const struct roster_holders *holders, uint64_t node_id);
uint32_t roster_majority(uint32_t count);
bool roster_epoch_has(const struct roster_epoch *epoch, uint64_t node_id);

#endif
