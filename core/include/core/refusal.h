#ifndef CORE_REFUSAL_H
#define CORE_REFUSAL_H

#include <core/reason.h>
#include <stdint.h>

/* Whether a request that is refused may have run at a target. */
enum refusal_kind {
	REFUSAL_NOT_RUN,
	REFUSAL_UNKNOWN,
};

struct refusal {
	enum refusal_kind kind;
	enum reason reason;
	uint32_t retry_after_ms;
};

#endif
