#include "suspicion.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Shortest timeout in probe intervals a decade of nodes, and its multiple. */
#define TIMEOUT_INTERVALS 3
#define TIMEOUT_SPREAD 3
#define NODE_COUNT_MIN 10

/* Begins with no accuser. */
void suspicion_start(struct suspicion *suspicion, int64_t now_ms)
{
	memset(suspicion, 0, sizeof(*suspicion));
	suspicion->since_ms = now_ms;
}

/* Adds an accuser; returns false when it is known or no more are needed. */
bool suspicion_add(struct suspicion *suspicion, uint64_t accuser_id)
{
	for (uint32_t i = 0; i < suspicion->accuser_count; i++) {
		if (suspicion->accusers[i] == accuser_id)
			return false;
	}
	if (suspicion->accuser_count == SUSPICION_ACCUSER_COUNT_MAX)
		return false;
	suspicion->accusers[suspicion->accuser_count++] = accuser_id;
	return true;
}

/*
 * Returns how long the member has to refute: the timeout of Lifeguard (Dadgar,
 * Phillips, Currey, 2017), which shrinks from three times the shortest one
 * with the logarithm of the number of accusers.
 */
uint32_t suspicion_timeout_ms(const struct suspicion *suspicion,
			      uint32_t node_count, uint32_t probe_interval_ms)
{
	double shortest_ms = TIMEOUT_INTERVALS *
			     log10(MAX(node_count, NODE_COUNT_MIN)) *
			     probe_interval_ms;
	/* A small fleet has too few nodes to accuse from. */
	uint32_t wanted =
		MIN(SUSPICION_ACCUSER_COUNT_MAX, MAX(node_count, 3) - 2);
	uint32_t count = CLAMP(suspicion->accuser_count, 1, wanted);
	double share = wanted > 1 ? log(count) / log(wanted) : 1;

	return (uint32_t)(shortest_ms *
			  (TIMEOUT_SPREAD - (TIMEOUT_SPREAD - 1) * share));
}
