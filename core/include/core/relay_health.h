#ifndef CORE_RELAY_HEALTH_H
#define CORE_RELAY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether something answers opening packets: a target, or the targets of a
 * zone. After enough unanswered ones it is avoided for a while that doubles;
 * then one flow at a time tries it again.
 */
struct relay_health {
	int64_t answered_ms;
	int64_t avoided_until_ms;
	uint32_t unanswered_count;
	uint32_t avoidance_count;
};

/* How many unanswered opening packets in a row make one avoid it. */
struct relay_health_limits {
	uint32_t unanswered_count;
	uint32_t avoid_ms;
	uint32_t avoid_max_ms;
};

void relay_health_answered(struct relay_health *health, int64_t now_ms);
bool relay_health_unanswered(struct relay_health *health,
			     const struct relay_health_limits *limits,
			     int64_t sent_ms, int64_t now_ms);
bool relay_health_is_avoided(const struct relay_health *health, int64_t now_ms);

#endif
