#include <core/claim_round.h>

/* Starts a round with the key's holders in a roster's current epoch. */
void claim_round_begin(struct claim_round *round, const struct roster *roster)
{
	round->epoch = roster->epoch;
	round->holders = (struct roster_holders){.count = 0};
	if (roster->epoch_count > 0)
		round->holders =
			roster_holders_of(&roster->epochs[0], round->key);
	for (int i = 0; i < ROSTER_HOLDERS_MAX; i++)
		round->verdicts[i] = CLAIM_VERDICT_NONE;
}

/*
 * Records a holder's verdict. A verdict from another epoch is ignored, because
 * a majority is only valid within one epoch.
 */
void claim_round_record_verdict(struct claim_round *round,
				uint64_t from_node_id,
				const struct claim_message *message)
{
	if (message->epoch != round->epoch ||
	    message->token.request_id != round->token.request_id)
		return;
	for (uint32_t i = 0; i < round->holders.count; i++) {
		if (round->holders.node_ids[i] == from_node_id)
			round->verdicts[i] = message->verdict;
	}
}

/*
 * Returns whether a majority of the holders has granted the claim, whether too
 * many have reported it taken for a majority to grant it, or whether it is
 * still open.
 */
enum claim_round_state claim_round_state(const struct claim_round *round)
{
	uint32_t majority = roster_majority(round->holders.count);
	uint32_t granted_count = 0;
	uint32_t taken_count = 0;

	for (uint32_t i = 0; i < round->holders.count; i++) {
		if (round->verdicts[i] == CLAIM_VERDICT_GRANTED)
			granted_count++;
		if (round->verdicts[i] == CLAIM_VERDICT_TAKEN)
			taken_count++;
	}
	if (granted_count >= majority)
		return CLAIM_ROUND_GRANTED;
	if (taken_count > 0 && taken_count + majority > round->holders.count)
		return CLAIM_ROUND_TAKEN;
	return CLAIM_ROUND_OPEN;
}

/* Returns whether the holder at an index has not yet sent a final verdict. */
bool claim_round_is_undecided(const struct claim_round *round, uint32_t index)
{
	return round->verdicts[index] == CLAIM_VERDICT_NONE ||
	       round->verdicts[index] == CLAIM_VERDICT_UNREADY;
}
