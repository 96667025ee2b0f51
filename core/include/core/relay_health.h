#ifndef CORE_RELAY_HEALTH_H
#define CORE_RELAY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Tracks whether a target, or the targets of a zone, answer opening packets.
 * After several unanswered packets in a row the target or zone is avoided for a
 * period; then new flows try it again, and each unanswered trial doubles the
 * period up to a maximum. answered_ms is the time of the last answer.
 */
struct relay_health {
	int64_t answered_ms;
	int64_t avoided_until_ms;
	uint32_t unanswered_count;
	uint32_t avoidance_count;
};

/*
 * unanswered_threshold is how many unanswered packets in a row start an
 * avoidance, avoid_ms its first period and avoid_max_ms its longest one.
 */
struct relay_health_limits {
	uint32_t unanswered_threshold;
	uint32_t avoid_ms;
	uint32_t avoid_max_ms;
};

void relay_health_record_answer(struct relay_health *health, int64_t now_ms);
bool relay_health_record_timeout(struct relay_health *health,
				 const struct relay_health_limits *limits,
				 int64_t sent_ms, int64_t now_ms);
void relay_health_avoid(struct relay_health *health,
			const struct relay_health_limits *limits,
			int64_t now_ms);
bool relay_health_is_avoided(const struct relay_health *health, int64_t now_ms);

#endif
