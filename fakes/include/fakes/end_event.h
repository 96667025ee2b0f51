#ifndef FAKES_END_EVENT_H
#define FAKES_END_EVENT_H

#include <core/endpoint.h>

enum end_event_kind {
	/* A host accepted the opening packet of a new flow. */
	END_EVENT_OPENING_TAKEN,
	/*
	 * The host received the caller's acknowledgement of its reply to the
	 * opening packet.
	 */
	END_EVENT_FLOW_OPENED,
	END_EVENT_REQUEST_RUN,
	/* A host received a packet of a flow that it has no state for. */
	END_EVENT_UNKNOWN_FLOW,
	END_EVENT_HOST_GOT_CHANGED,
	END_EVENT_CALLER_GOT_CHANGED,
	END_EVENT_ANSWERED,
	END_EVENT_WRONG_ANSWER,
	/*
	 * The caller received a reset injected on the path, before or after the
	 * flow was open.
	 */
	END_EVENT_OPENING_RESET,
	END_EVENT_FLOW_RESET,
	/* The caller received a reset sent by the host. */
	END_EVENT_HOST_RESET,
	END_EVENT_OPENING_UNANSWERED,
	END_EVENT_REQUEST_UNANSWERED,
	END_EVENT_KIND_COUNT,
};

/*
 * An event observed by the caller or the host of a flow. The pair of caller and
 * service endpoints identifies the flow; a caller endpoint is used for one flow
 * only. Only hosts set node, the sender of the packet, and host, their own
 * index. Only callers set started_ms: when the flow entered its current phase,
 * for instance when the opening packet or the request was first sent.
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

/* Receives each event, in the thread of the caller or host that observed it. */
struct end_observer {
	void *context;
	void (*on_event)(void *context, const struct end_event *event);
};

const char *end_event_name(enum end_event_kind kind);

#endif
