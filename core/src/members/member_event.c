#include <core/member_event.h>

static const char *const event_names[MEMBER_EVENT_KIND_COUNT] = {
	[MEMBER_EVENT_JOINED] = "joined",
	[MEMBER_EVENT_SERVING] = "serving",
	[MEMBER_EVENT_LEAVING] = "leaving",
	[MEMBER_EVENT_SUSPECTED] = "suspected",
	[MEMBER_EVENT_REFUTED] = "refuted",
	[MEMBER_EVENT_DIED] = "died",
	[MEMBER_EVENT_LEFT] = "left",
	[MEMBER_EVENT_FORGOTTEN] = "forgotten",
	[MEMBER_EVENT_ZONE_CUT] = "zone_cut",
	[MEMBER_EVENT_ZONE_HEALED] = "zone_healed",
	[MEMBER_EVENT_ZONE_LOST] = "zone_lost",
	[MEMBER_EVENT_WOKE] = "woke",
	[MEMBER_EVENT_DECLARED_DEAD] = "declared_dead",
};

/* Returns the name used in logs. */
const char *member_event_name(enum member_event_kind kind)
{
	return kind < MEMBER_EVENT_KIND_COUNT ? event_names[kind] : "invalid";
}
