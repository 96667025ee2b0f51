#include "claim_step.h"

/*
 * Begins the step to an epoch of the roster. When the roster no longer has
 * the members of the epoch before, former is empty.
 */
void claim_step_init(struct claim_step *step, const struct roster *roster,
		     uint64_t epoch, bool is_base)
{
	const struct roster_epoch *former = roster_at(roster, epoch - 1);

	*step = (struct claim_step){
		.epoch = epoch, .is_base = is_base, .is_done = epoch == 1};
	if (former)
		step->former = *former;
}

/* Returns a node's place among the former members, or their number. */
uint32_t claim_step_index(const struct claim_step *step, uint64_t node_id)
{
	uint32_t index = 0;

	while (index < step->former.member_count &&
	       step->former.members[index].node_id != node_id)
		index++;
	return index;
}

static uint32_t bit_of(const struct claim_step *step, uint64_t node_id)
{
	uint32_t index = claim_step_index(step, node_id);

	return index < step->former.member_count ? 1U << index : 0;
}

/*
 * Tells what this step taught the node about a key. A node that held the key
 * before meets every former claim in any majority of its holders; another has
 * to fetch from such a majority.
 */
enum claim_knowledge claim_step_knowledge(const struct claim_step *step,
					  uint64_t self_id,
					  struct flow_print key)
{
	struct roster_holders holders;
	uint32_t fetched_count = 0;

	if (step->is_done)
		return KNOWLEDGE_WHOLE;
	if (step->former.member_count == 0)
		return KNOWLEDGE_NONE;
	holders = roster_holders_of(&step->former, key);
	if (!step->is_base && roster_holders_has(&holders, self_id))
		return KNOWLEDGE_KEPT;
	for (uint32_t i = 0; i < holders.count; i++) {
		if (step->fetched_mask & bit_of(step, holders.node_ids[i]))
			fetched_count++;
	}
	return fetched_count >= roster_majority(holders.count) ? KNOWLEDGE_WHOLE
							       : KNOWLEDGE_NONE;
}

/* How many former members may be missing so that no key lacks a majority. */
static uint32_t missing_allowed(const struct claim_step *step)
{
	uint32_t holder_count = step->former.member_count < ROSTER_HOLDERS_MAX
					? step->former.member_count
					: ROSTER_HOLDERS_MAX;

	return holder_count - roster_majority(holder_count);
}

/* Tells whether the step has taught the node all about every key. */
bool claim_step_is_complete(const struct claim_step *step)
{
	uint32_t fetched_count =
		(uint32_t)__builtin_popcount(step->fetched_mask);

	if (step->is_done)
		return true;
	return step->former.member_count > 0 &&
	       fetched_count + missing_allowed(step) >=
		       step->former.member_count;
}

/* Notes that all claims of a former member have come. */
void claim_step_fetched(struct claim_step *step, uint64_t node_id)
{
	step->fetched_mask |= bit_of(step, node_id);
}

/*
 * Notes that a former member is in the step's epoch or a later one. Once a
 * majority is, no holder can keep its lease in the former epoch.
 */
void claim_step_confirmed(struct claim_step *step, uint64_t node_id,
			  int64_t now_ms)
{
	uint32_t majority = roster_majority(step->former.member_count);

	step->confirmed_mask |= bit_of(step, node_id);
	if (step->confirmed_ms == 0 &&
	    (uint32_t)__builtin_popcount(step->confirmed_mask) >= majority)
		step->confirmed_ms = now_ms;
}
