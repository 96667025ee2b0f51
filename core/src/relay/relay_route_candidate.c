#include <core/relay_route_candidate.h>

static const char *const names[CANDIDATE_OUTCOME_COUNT] = {
	[CANDIDATE_CHOSEN] = "chosen",
	[CANDIDATE_NOT_SERVING] = "not_serving",
	[CANDIDATE_EVACUATED] = "evacuated",
	[CANDIDATE_WARMUP_LIMIT] = "warmup_limit",
	[CANDIDATE_TRIED] = "tried",
	[CANDIDATE_AVOIDED] = "avoided",
	[CANDIDATE_ZONE_AVOIDED] = "zone_avoided",
	[CANDIDATE_OTHER_ZONE] = "other_zone",
	[CANDIDATE_NOT_ITS_TURN] = "not_its_turn",
	[CANDIDATE_MORE_LOADED] = "more_loaded",
	[CANDIDATE_NOT_DRAWN] = "not_drawn",
};

/* Returns the name used in explanations. */
const char *relay_candidate_outcome_name(enum relay_candidate_outcome outcome)
{
	return outcome < CANDIDATE_OUTCOME_COUNT ? names[outcome] : "invalid";
}
