#ifndef REQUEST_ENTRY_H
#define REQUEST_ENTRY_H

#include "caller_exchange.h"
#include "target_attempt.h"

/* A request whose response has not been written completely. */
struct request_entry {
	uint64_t request_id;
	/* The outcome is known; the director holds no state of the request. */
	bool has_outcome;
	bool is_repeatable;
	struct caller_exchange *exchange;
	/* The attempt whose response is forwarded; NULL before its headers. */
	struct target_attempt *responding_attempt;
};

#endif
