#ifndef CORE_CLAIM_MESSAGE_H
#define CORE_CLAIM_MESSAGE_H

#include <core/roster.h>

#define CLAIM_PAGE_ENTRIES_MAX 24

/* Identifies one request of one node, the owner of a claim. */
struct claim_token {
	uint64_t node_id;
	uint64_t request_id;
};

enum claim_message_kind {
	/* To a holder: may the token have the key? */
	CLAIM_MESSAGE_REQUEST,
	/* From a holder: its verdict on a request for a claim. */
	CLAIM_MESSAGE_VERDICT,
	/* To a holder: the token's request did not run. */
	CLAIM_MESSAGE_RELEASE,
	/* To a previous holder: send claims on my keys, from cursor. */
	CLAIM_MESSAGE_FETCH,
	/* From a previous holder: entries, and the cursor of the next page. */
	CLAIM_MESSAGE_PAGE,
	/* To a member: which epoch are you in? */
	CLAIM_MESSAGE_PROBE,
	CLAIM_MESSAGE_PROBE_ANSWER,
	/* To a member with an older epoch: the roster. */
	CLAIM_MESSAGE_ROSTER,
	CLAIM_MESSAGE_KIND_COUNT,
};

enum claim_verdict {
	CLAIM_VERDICT_NONE,
	CLAIM_VERDICT_GRANTED,
	CLAIM_VERDICT_TAKEN,
	/* The holder lacks claims, or may not decide in this epoch. */
	CLAIM_VERDICT_UNREADY,
	CLAIM_VERDICT_COUNT,
};

/* A claim as one holder transfers it to another. */
struct claim_entry {
	struct hash128 key;
	struct claim_token token;
	uint32_t age_ms;
};

/*
 * A message about claims, unencoded. epoch is the sender's; the kind determines
 * which other fields are set. sent_ms is read from the sender's own clock and
 * returned in the answer to a probe.
 */
struct claim_message {
	enum claim_message_kind kind;
	uint64_t epoch;
	struct hash128 key;
	struct claim_token token;
	enum claim_verdict verdict;
	int64_t sent_ms;
	uint64_t cursor;
	bool is_last;
	uint32_t entry_count;
	struct claim_entry entries[CLAIM_PAGE_ENTRIES_MAX];
	struct roster roster;
};

#endif
