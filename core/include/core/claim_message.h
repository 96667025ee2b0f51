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
	/* To a holder: requests a claim on the key for the token. */
	CLAIM_MESSAGE_REQUEST,
	/* From a holder: its verdict on a request for a claim. */
	CLAIM_MESSAGE_VERDICT,
	/* To a holder: releases the claim, because the request did not run. */
	CLAIM_MESSAGE_RELEASE,
	/* To a previous holder: requests claims on the sender's keys. */
	CLAIM_MESSAGE_FETCH,
	/* From a previous holder: claims, and the cursor of the next page. */
	CLAIM_MESSAGE_PAGE,
	/* To a member: requests a reply, which carries the member's epoch. */
	CLAIM_MESSAGE_PROBE,
	CLAIM_MESSAGE_PROBE_REPLY,
	/* To a member with an older epoch: the roster. */
	CLAIM_MESSAGE_ROSTER,
	CLAIM_MESSAGE_KIND_COUNT,
};

/* A holder's decision on one request for a claim. */
enum claim_verdict {
	CLAIM_VERDICT_NONE,
	CLAIM_VERDICT_GRANTED,
	CLAIM_VERDICT_TAKEN,
	/* The holder may lack claims, or may not decide in this epoch. */
	CLAIM_VERDICT_UNREADY,
	CLAIM_VERDICT_COUNT,
};

/* A claim in a page that one holder sends to another. */
struct claim_entry {
	struct hash128 key;
	struct claim_token token;
	uint32_t age_ms;
};

/*
 * A message about claims, unencoded. epoch is the sender's; the kind determines
 * which other fields are set. sent_ms is the time of a probe by the sender's
 * clock; the reply to the probe returns it.
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
