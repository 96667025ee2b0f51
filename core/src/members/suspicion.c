#include "suspicion.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * The minimum timeout in probe intervals per factor of ten in the number of
 * nodes, and the ratio of the maximum timeout to the minimum.
 */
#define TIMEOUT_MIN_INTERVALS 3
#define TIMEOUT_MAX_FACTOR 3
#define NODE_COUNT_MIN 10

/* Starts a suspicion without accusers. */
void suspicion_start(struct suspicion *suspicion, int64_t now_ms)
{
	memset(suspicion, 0, sizeof(*suspicion));
	suspicion->since_ms = now_ms;
}

/* Adds an accuser. Returns false if it is already known or the list is full. */
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
 * Returns the time that a suspect has to refute. This is the dynamic timeout of
 * Lifeguard (Dadgar, Phillips, Currey, 2017): it starts at TIMEOUT_MAX_FACTOR
 * times the minimum and decreases logarithmically with the number of accusers.
 */
uint32_t suspicion_timeout_ms(const struct suspicion *suspicion,
			      uint32_t node_count, uint32_t probe_interval_ms)
{
	double min_ms = TIMEOUT_MIN_INTERVALS *
			log10(MAX(node_count, NODE_COUNT_MIN)) *
			probe_interval_ms;
	/* With few nodes there are not SUSPICION_ACCUSER_COUNT_MAX accusers. */
	uint32_t accuser_count_max =
		MIN(SUSPICION_ACCUSER_COUNT_MAX, MAX(node_count, 3) - 2);
	uint32_t count = CLAMP(suspicion->accuser_count, 1, accuser_count_max);
	double progress =
		accuser_count_max > 1 ? log(count) / log(accuser_count_max) : 1;

	return (uint32_t)(min_ms * (TIMEOUT_MAX_FACTOR -
				    (TIMEOUT_MAX_FACTOR - 1) * progress));
}
