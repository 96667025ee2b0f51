#ifndef CORE_REFUSAL_H
#define CORE_REFUSAL_H

#include <core/reason.h>
#include <stdint.h>

/* Whether a refused request certainly did not run, or may have run. */
enum refusal_kind {
	REFUSAL_NOT_RUN,
	REFUSAL_UNKNOWN,
};

/* The response to a caller whose request is refused. */
struct refusal {
	enum refusal_kind kind;
	enum reason reason;
	uint32_t retry_after_ms;
};

#endif
