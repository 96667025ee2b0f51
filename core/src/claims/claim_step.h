#ifndef CORE_CLAIM_STEP_H
#define CORE_CLAIM_STEP_H

#include <core/roster.h>

/* How a step taught the node about a key, if it did. */
enum claim_knowledge {
	KNOWLEDGE_NONE,
	/* It held the key in the epoch before: what it knew then counts. */
	KNOWLEDGE_KEPT,
	/* It learned all there was before the step. */
	KNOWLEDGE_WHOLE,
};

/*
 * What a holder must learn to move to an epoch: the claims of its new keys
 * from a majority of those that held them in the epoch before. Bits of the
 * masks stand for the members of that former epoch. A base step follows
 * no epoch that the node went through, so nothing it knew counts.
 */
struct claim_step {
	uint64_t epoch;
	struct roster_epoch former;
	uint32_t fetched_mask;
	uint32_t confirmed_mask;
	uint64_t cursors[ROSTER_MEMBERS_MAX];
	int64_t confirmed_ms;
	bool is_base;
	bool is_done;
};

void claim_step_init(struct claim_step *step, const struct roster *roster,
		     uint64_t epoch, bool is_base);
enum claim_knowledge claim_step_knowledge(const struct claim_step *step,
					  uint64_t self_id,
					  struct flow_print key);
uint32_t claim_step_index(const struct claim_step *step, uint64_t node_id);
bool claim_step_is_complete(const struct claim_step *step);
void claim_step_fetched(struct claim_step *step, uint64_t node_id);
void claim_step_confirmed(struct claim_step *step, uint64_t node_id,
			  int64_t now_ms);

#endif
