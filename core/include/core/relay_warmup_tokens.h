#ifndef CORE_RELAY_WARMUP_TOKENS_H
#define CORE_RELAY_WARMUP_TOKENS_H

#include <stdbool.h>
#include <stdint.h>

/* The most tokens of one target that are valid at the same time. */
#define RELAY_WARMUP_VALID_MAX 32

/*
 * What a node knows of one target's warm-up: when it ends, 0 if the target is
 * warm, and the tokens that are valid now. Tokens are numbered back from the
 * end, one for each interval of the rate, so that every node that knows the end
 * gives a token the same number. Bit i of the masks is the token newest_index +
 * i. generation is that of the list of nodes that own_mask was made from.
 * is_reported: the limit's start was reported, and its end was not.
 */
struct relay_warmup_tokens {
	int64_t end_ms;
	int64_t newest_index;
	uint32_t rate_milli;
	uint32_t generation;
	uint32_t own_mask;
	uint32_t used_mask;
	bool is_reported;
};

void relay_warmup_tokens_hear(struct relay_warmup_tokens *tokens,
			      uint32_t remaining_ms, int64_t now_ms);
bool relay_warmup_tokens_is_cold(const struct relay_warmup_tokens *tokens,
				 int64_t now_ms);
uint32_t relay_warmup_tokens_advance(struct relay_warmup_tokens *tokens,
				     uint32_t rate_milli, int64_t now_ms);
bool relay_warmup_tokens_use(struct relay_warmup_tokens *tokens);

#endif
