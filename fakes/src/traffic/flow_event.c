#include <fakes/flow_event.h>

static const char *const names[] = {
	[FLOW_EVENT_OPENING_ACCEPTED] = "opening_taken",
	[FLOW_EVENT_OPENED] = "flow_opened",
	[FLOW_EVENT_REQUEST_EXECUTED] = "request_run",
	[FLOW_EVENT_UNKNOWN_FLOW] = "unknown_flow",
	[FLOW_EVENT_HOST_RECEIVED_CORRUPT_PACKET] = "host_got_changed_packet",
	[FLOW_EVENT_CALLER_RECEIVED_CORRUPT_PACKET] =
		"caller_got_changed_packet",
	[FLOW_EVENT_RESPONSE_COMPLETE] = "answered",
	[FLOW_EVENT_WRONG_RESPONSE] = "wrong_answer",
	[FLOW_EVENT_OPENING_RESET] = "opening_reset",
	[FLOW_EVENT_RESET] = "flow_reset",
	[FLOW_EVENT_HOST_RESET] = "host_reset",
	[FLOW_EVENT_OPENING_UNANSWERED] = "opening_unanswered",
	[FLOW_EVENT_REQUEST_TIMED_OUT] = "request_unanswered",
};

/* Returns the name of an event kind, as it appears in reports. */
const char *flow_event_name(enum flow_event_kind kind)
{
	return kind < FLOW_EVENT_KIND_COUNT ? names[kind] : "?";
}
