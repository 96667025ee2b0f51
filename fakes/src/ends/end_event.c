#include <fakes/end_event.h>

static const char *const names[] = {
	[END_EVENT_OPENING_TAKEN] = "opening_taken",
	[END_EVENT_FLOW_OPENED] = "flow_opened",
	[END_EVENT_REQUEST_RUN] = "request_run",
	[END_EVENT_UNKNOWN_FLOW] = "unknown_flow",
	[END_EVENT_HOST_GOT_CHANGED] = "host_got_changed_packet",
	[END_EVENT_CALLER_GOT_CHANGED] = "caller_got_changed_packet",
	[END_EVENT_ANSWERED] = "answered",
	[END_EVENT_WRONG_ANSWER] = "wrong_answer",
	[END_EVENT_OPENING_RESET] = "opening_reset",
	[END_EVENT_FLOW_RESET] = "flow_reset",
	[END_EVENT_HOST_RESET] = "host_reset",
	[END_EVENT_OPENING_UNANSWERED] = "opening_unanswered",
	[END_EVENT_REQUEST_UNANSWERED] = "request_unanswered",
};

/* Returns the name of an event kind, as it appears in reports. */
const char *end_event_name(enum end_event_kind kind)
{
	return kind < END_EVENT_KIND_COUNT ? names[kind] : "?";
}
