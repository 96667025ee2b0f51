#include <ctl/load_result.h>

static const char *const outcome_names[] = {
	[LOAD_COMPLETE] = "whole",    [LOAD_NOT_RUN] = "not_run",
	[LOAD_UNKNOWN] = "unknown",   [LOAD_WRONG_ECHO] = "wrong",
	[LOAD_REJECTED] = "rejected", [LOAD_INCOMPLETE] = "broken",
};

/* Returns the name of an outcome in reports. */
const char *load_outcome_name(enum load_outcome outcome)
{
	return outcome_names[outcome];
}
