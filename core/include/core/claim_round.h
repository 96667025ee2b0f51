#ifndef CORE_CLAIM_ROUND_H
#define CORE_CLAIM_ROUND_H

#include <core/claim_message.h>
#include <core/request_director.h>

/* One request's claim on its key, while the key's holders decide on it. */
struct claim_round {
	struct hash128 key;
	struct claim_token token;
	int64_t started_ms;
	int64_t requested_ms;
	uint64_t epoch;
	struct roster_holders holders;
	enum claim_verdict verdicts[ROSTER_HOLDERS_MAX];
};

/* The state of a round; it is granted by a majority of the key's holders. */
enum claim_round_state {
	CLAIM_ROUND_OPEN,
	CLAIM_ROUND_GRANTED,
	CLAIM_ROUND_TAKEN,
};

void claim_round_begin(struct claim_round *round, const struct roster *roster);
void claim_round_record_verdict(struct claim_round *round,
				uint64_t from_node_id,
				const struct claim_message *message);
enum claim_round_state claim_round_state(const struct claim_round *round);
bool claim_round_is_undecided(const struct claim_round *round, uint32_t index);

#endif
