#include <core/roster.h>

#include <core/node.h>
#include <stdlib.h>
#include <string.h>

static int compare_members(const void *a, const void *b)
{
	const struct roster_member *left = a;
	const struct roster_member *right = b;

	if (left->node_id == right->node_id)
		return 0;
	return left->node_id < right->node_id ? -1 : 1;
}

static bool has_same_members(const struct roster_epoch *a,
			     const struct roster_epoch *b)
{
	if (a->member_count != b->member_count)
		return false;
	for (uint32_t i = 0; i < a->member_count; i++) {
		if (a->members[i].node_id != b->members[i].node_id ||
		    a->members[i].zone_id != b->members[i].zone_id)
			return false;
	}
	return true;
}

/*
 * Creates the successor of a roster, or the first roster when it is NULL.
 * Returns false when there are no members, more than ROSTER_MEMBERS_MAX, or the
 * same ones as in the roster.
 */
bool roster_next(struct roster *next, const struct roster *roster,
		 const struct roster_member *members, uint32_t member_count)
{
	struct roster result = {.epoch = 1, .epoch_count = 1};
	struct roster_epoch *epoch = &result.epochs[0];

	if (member_count == 0 || member_count > ROSTER_MEMBERS_MAX)
		return false;
	epoch->member_count = member_count;
	memcpy(epoch->members, members, member_count * sizeof(*members));
	qsort(epoch->members, member_count, sizeof(*members), compare_members);
	if (roster) {
		if (has_same_members(epoch, &roster->epochs[0]))
			return false;
		result.epoch = roster->epoch + 1;
		for (uint32_t i = 0; i < roster->epoch_count &&
				     result.epoch_count < ROSTER_EPOCHS_MAX;
		     i++)
			result.epochs[result.epoch_count++] = roster->epochs[i];
	}
	*next = result;
	return true;
}

/* Returns the members of an epoch, or NULL when the roster has none for it. */
const struct roster_epoch *roster_epoch_at(const struct roster *roster,
					   uint64_t epoch)
{
	if (epoch == 0 || epoch > roster->epoch ||
	    roster->epoch - epoch >= roster->epoch_count)
		return NULL;
	return &roster->epochs[roster->epoch - epoch];
}

static bool is_zone_selected(const struct roster_epoch *epoch,
			     const bool is_selected[ROSTER_MEMBERS_MAX],
			     uint32_t zone_id)
{
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (is_selected[i] && epoch->members[i].zone_id == zone_id)
			return true;
	}
	return false;
}

/*
 * Returns the index of the unselected member with the highest score, optionally
 * only from zones without a selected member; ROSTER_MEMBERS_MAX if none.
 */
static uint32_t best_member(const struct roster_epoch *epoch,
			    const bool is_selected[ROSTER_MEMBERS_MAX],
			    bool needs_new_zone, struct hash128 key)
{
	uint32_t best = ROSTER_MEMBERS_MAX;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < epoch->member_count; i++) {
		const struct roster_member *member = &epoch->members[i];
		uint64_t score;

		if (is_selected[i] ||
		    (needs_new_zone &&
		     is_zone_selected(epoch, is_selected, member->zone_id)))
			continue;
		score = node_rendezvous_score(member->node_id, key.low);
		if (best < ROSTER_MEMBERS_MAX && score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return best;
}

/*
 * Returns the members that hold a key in an epoch: those with the highest
 * scores of rendezvous hashing (Thaler and Ravishankar, 1998), each in another
 * zone while there are enough zones, so that no zone has a majority of them.
 */
struct roster_holders roster_holders_of(const struct roster_epoch *epoch,
					struct hash128 key)
{
	bool is_selected[ROSTER_MEMBERS_MAX] = {false};
	struct roster_holders holders = {.count = 0};

	while (holders.count < ROSTER_HOLDERS_MAX &&
	       holders.count < epoch->member_count) {
		uint32_t best = best_member(epoch, is_selected, true, key);

		if (best == ROSTER_MEMBERS_MAX)
			best = best_member(epoch, is_selected, false, key);
		is_selected[best] = true;
		holders.node_ids[holders.count++] =
			epoch->members[best].node_id;
	}
	return holders;
}

/* Returns whether a node is among the holders. */
bool roster_holders_has(const struct roster_holders *holders, uint64_t node_id)
{
	for (uint32_t i = 0; i < holders->count; i++) {
		if (holders->node_ids[i] == node_id)
			return true;
	}
	return false;
}

/* Returns the smallest number of members that is a majority of count. */
uint32_t roster_majority(uint32_t count)
{
	return count / 2 + 1;
}

/* Returns whether a node is a member in an epoch. */
bool roster_epoch_has(const struct roster_epoch *epoch, uint64_t node_id)
{
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		if (epoch->members[i].node_id == node_id)
			return true;
	}
	return false;
}
