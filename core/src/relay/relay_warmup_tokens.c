#include <core/relay_warmup_tokens.h>

#define MILLI_MS_PER_S 1000000

/*
 * An entry may be older than the last one, by some seconds if it comes from
 * another copy of the store, and then names an end that is too late by its age.
 * Only an end that is later by more than this is that of a new warm-up.
 */
#define NEW_WARMUP_MS 3000

/*
 * Takes the time that a target's entry says is left of its warm-up. The
 * earliest end that was heard is the most precise, as an entry only gets older
 * on its way; so later entries don't shift the tokens.
 */
void relay_warmup_tokens_hear(struct relay_warmup_tokens *tokens,
			      uint32_t remaining_ms, int64_t now_ms)
{
	int64_t end_ms = now_ms + remaining_ms;

	if (remaining_ms == 0)
		tokens->end_ms = 0;
	else if (tokens->end_ms == 0 || end_ms < tokens->end_ms ||
		 end_ms > tokens->end_ms + NEW_WARMUP_MS)
		tokens->end_ms = end_ms;
}

/* Returns whether the target is in its warm-up, as far as was heard. */
bool relay_warmup_tokens_is_cold(const struct relay_warmup_tokens *tokens,
				 int64_t now_ms)
{
	return now_ms < tokens->end_ms;
}

/*
 * Moves on to the tokens of a cold target that are valid now. The rate is in
 * thousandths of a token a second and above 0. Returns the mask of the tokens
 * whose owner is not known yet. If the end moves to a later time or the rate
 * changes, the tokens that are valid just then count as used, as this node may
 * have used them under other numbers.
 */
uint32_t relay_warmup_tokens_advance(struct relay_warmup_tokens *tokens,
				     uint32_t rate_milli, int64_t now_ms)
{
	int64_t index = (tokens->end_ms - now_ms) * rate_milli / MILLI_MS_PER_S;
	int64_t step_count = tokens->newest_index - index;
	bool has_passed =
		tokens->rate_milli != 0 && step_count < RELAY_WARMUP_VALID_MAX;

	if (rate_milli != tokens->rate_milli || step_count < 0 ||
	    step_count >= RELAY_WARMUP_VALID_MAX) {
		tokens->rate_milli = rate_milli;
		tokens->newest_index = index;
		tokens->own_mask = 0;
		tokens->used_mask = has_passed ? UINT32_MAX : 0;
		return UINT32_MAX;
	}
	tokens->newest_index = index;
	tokens->own_mask <<= step_count;
	tokens->used_mask <<= step_count;
	return (UINT32_C(1) << step_count) - 1;
}

/* Uses the oldest own token. Returns false if there is none. */
bool relay_warmup_tokens_use(struct relay_warmup_tokens *tokens)
{
	uint32_t free_mask = tokens->own_mask & ~tokens->used_mask;

	if (free_mask == 0)
		return false;
	tokens->used_mask |= UINT32_C(1) << (31 - __builtin_clz(free_mask));
	return true;
}
