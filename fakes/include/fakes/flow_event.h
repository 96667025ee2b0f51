#ifndef FAKES_FLOW_EVENT_H
#define FAKES_FLOW_EVENT_H

#include <core/endpoint.h>

enum flow_event_kind {
	/* A host accepted the opening packet of a new flow. */
	FLOW_EVENT_OPENING_ACCEPTED,
	/*
	 * The host received the caller's acknowledgement of its reply to the
	 * opening packet.
	 */
	FLOW_EVENT_OPENED,
	FLOW_EVENT_REQUEST_EXECUTED,
	/* A host received a packet of a flow that it has no state for. */
	FLOW_EVENT_UNKNOWN_FLOW,
	FLOW_EVENT_HOST_RECEIVED_CORRUPT_PACKET,
	FLOW_EVENT_CALLER_RECEIVED_CORRUPT_PACKET,
	FLOW_EVENT_RESPONSE_COMPLETE,
	FLOW_EVENT_WRONG_RESPONSE,
	/*
	 * The caller received a reset injected on the path, before or after the
	 * flow was open.
	 */
	FLOW_EVENT_OPENING_RESET,
	FLOW_EVENT_RESET,
	/* The caller received a reset sent by the host. */
	FLOW_EVENT_HOST_RESET,
	FLOW_EVENT_OPENING_UNANSWERED,
	FLOW_EVENT_REQUEST_TIMED_OUT,
	FLOW_EVENT_KIND_COUNT,
};

/*
 * An event observed by the caller or the host of a flow. The pair of caller and
 * service endpoints identifies the flow; a caller endpoint is used for one flow
 * at a time; sequence, which only hosts set, tells its flows apart. Only hosts
 * set node, the endpoint that sent them the packet, and
 * host, their own index. Only callers set started_ms: when the flow entered its
 * current phase, for instance when the opening packet or the request was first
 * sent.
 */
struct flow_event {
	enum flow_event_kind kind;
	int64_t at_ms;
	int64_t started_ms;
	struct endpoint caller;
	struct endpoint service;
	struct endpoint node;
	uint32_t host;
	uint32_t sequence;
	uint64_t request_id;
};

/* Receives each event, in the thread of the caller or host that observed it. */
struct flow_observer {
	void *context;
	void (*on_event)(void *context, const struct flow_event *event);
};

const char *flow_event_name(enum flow_event_kind kind);

#endif
