#ifndef FAKES_END_EVENT_H
#define FAKES_END_EVENT_H

#include <core/endpoint.h>

enum end_event_kind {
	/* A host answered the opening packet of a flow that it did not hold. */
	END_EVENT_OPENING_TAKEN,
	/* The caller acknowledged the host's answer to its opening packet. */
	END_EVENT_FLOW_OPENED,
	END_EVENT_REQUEST_RUN,
	/* A host got a packet of a flow that it does not hold. */
	END_EVENT_UNKNOWN_FLOW,
	END_EVENT_HOST_GOT_CHANGED,
	END_EVENT_CALLER_GOT_CHANGED,
	END_EVENT_ANSWERED,
	END_EVENT_WRONG_ANSWER,
	/* Resets written between the ends, of a flow being opened or open. */
	END_EVENT_OPENING_RESET,
	END_EVENT_FLOW_RESET,
	/* A reset of the flow's host. */
	END_EVENT_HOST_RESET,
	END_EVENT_OPENING_UNANSWERED,
	END_EVENT_REQUEST_UNANSWERED,
	END_EVENT_KIND_COUNT,
};

/*
 * What one end of a flow saw. A flow is named by the caller's end, which is
 * used once, and the service's. node is where a host's packet came from; host
 * is the index of a host that reports, and is not set by callers. started_ms is
 * when the caller began the request that ended so, or sent the opening packet.
 */
struct end_event {
	enum end_event_kind kind;
	int64_t at_ms;
	int64_t started_ms;
	struct endpoint caller;
	struct endpoint service;
	struct endpoint node;
	uint32_t host;
	uint64_t request_id;
};

/* Gets each event in the thread of the end that saw it. */
struct end_observer {
	void *context;
	void (*seen)(void *context, const struct end_event *event);
};

const char *end_event_name(enum end_event_kind kind);

#endif
