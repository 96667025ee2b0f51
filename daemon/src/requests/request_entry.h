#ifndef REQUEST_ENTRY_H
#define REQUEST_ENTRY_H

#include "caller_exchange.h"
#include "target_attempt.h"

/* A request whose answer has not all gone out yet. */
struct request_entry {
	uint64_t request_id;
	/* Decisions have said their last word on it. */
	bool is_decided;
	bool is_repeatable;
	struct caller_exchange *exchange;
	/* The attempt whose answer goes to the caller; NULL before headers. */
	struct target_attempt *answering;
};

#endif
