#ifndef CORE_CLAIM_MESSAGE_H
#define CORE_CLAIM_MESSAGE_H

#include <core/roster.h>

#define CLAIM_PAGE_ENTRIES_MAX 24

/* Names one request of one node; a key's claim belongs to it. */
struct claim_token {
	uint64_t node_id;
	uint64_t request_id;
};

enum claim_message_kind {
	/* To a holder: may the token have the key? */
	CLAIM_MESSAGE_ASK,
	/* From a holder: verdict. */
	CLAIM_MESSAGE_VERDICT,
	/* To a holder: the token's request did not run. */
	CLAIM_MESSAGE_RELEASE,
	/* To a former holder: claims of the keys I hold now, from cursor. */
	CLAIM_MESSAGE_FETCH,
	/* From a former holder: entries, and the cursor to go on from. */
	CLAIM_MESSAGE_PAGE,
	/* To a member: which epoch are you in? */
	CLAIM_MESSAGE_PROBE,
	CLAIM_MESSAGE_PROBE_ANSWER,
	/* To a member that lags: the roster. */
	CLAIM_MESSAGE_ROSTER,
	CLAIM_MESSAGE_KIND_COUNT,
};

enum claim_verdict {
	CLAIM_VERDICT_NONE,
	CLAIM_VERDICT_GRANTED,
	CLAIM_VERDICT_TAKEN,
	/* The holder cannot know, or may not decide in this epoch. */
	CLAIM_VERDICT_UNREADY,
	CLAIM_VERDICT_COUNT,
};

/* A claim as one holder hands it to another. */
struct claim_entry {
	struct flow_print key;
	struct claim_token token;
	uint32_t age_ms;
};

/*
 * A message about claims, unencoded. epoch is the sender's; which other
 * fields count follows from the kind. sent_ms is the sender's own clock and
 * comes back with the answer.
 */
struct claim_message {
	enum claim_message_kind kind;
	uint64_t epoch;
	struct flow_print key;
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
