#include <core/rules_outcome.h>

static const char *const verdict_names[RULES_VERDICT_COUNT] = {
	[RULES_ALREADY_STORED] = "accepted",
	[RULES_ACCEPTED] = "accepted",
	[RULES_DELETED] = "deleted",
	[RULES_CHANGED_ELSEWHERE] = "changed_elsewhere",
	[RULES_INVALID] = "rejected",
	[RULES_CONFLICT] = "conflict",
	[RULES_STALE] = "stale",
	[RULES_HELD] = "held",
};

/* Returns a verdict's name, for text and JSON output. */
const char *rules_verdict_name(enum rules_verdict verdict)
{
	return verdict < RULES_VERDICT_COUNT ? verdict_names[verdict]
					     : "invalid";
}

/* Returns whether the line was not merged and needs the operator's action. */
bool rules_verdict_is_rejection(enum rules_verdict verdict)
{
	return verdict == RULES_INVALID || verdict == RULES_CONFLICT ||
	       verdict == RULES_STALE || verdict == RULES_HELD;
}
