#include <core/relay_health.h>

/* Keeps the shift in range; avoid_max_ms is reached with fewer doublings. */
#define DOUBLING_COUNT_MAX 16

/* Records an answer, which ends the avoidance and resets all counters. */
void relay_health_record_answer(struct relay_health *health, int64_t now_ms)
{
	health->answered_ms = now_ms;
	health->avoided_until_ms = 0;
	health->unanswered_count = 0;
	health->avoidance_count = 0;
}

static uint32_t avoid_ms(const struct relay_health *health,
			 const struct relay_health_limits *limits)
{
	uint64_t wait_ms = (uint64_t)limits->avoid_ms
			   << health->avoidance_count;

	return wait_ms < limits->avoid_max_ms ? (uint32_t)wait_ms
					      : limits->avoid_max_ms;
}

/*
 * Starts an avoidance, after which a single unanswered packet is enough for the
 * next one.
 */
void relay_health_avoid(struct relay_health *health,
			const struct relay_health_limits *limits,
			int64_t now_ms)
{
	health->avoided_until_ms = now_ms + avoid_ms(health, limits);
	if (health->avoidance_count < DOUBLING_COUNT_MAX)
		health->avoidance_count++;
	health->unanswered_count = 0;
}

/*
 * Records that a packet sent at sent_ms was not answered; ignores it if it was
 * sent before the last answer. Returns whether avoidance begins.
 */
bool relay_health_record_timeout(struct relay_health *health,
				 const struct relay_health_limits *limits,
				 int64_t sent_ms, int64_t now_ms)
{
	bool is_avoided = relay_health_is_avoided(health, now_ms);

	if (health->answered_ms > sent_ms || is_avoided)
		return false;
	health->unanswered_count++;
	if (health->unanswered_count < limits->unanswered_threshold &&
	    health->avoidance_count == 0)
		return false;
	relay_health_avoid(health, limits, now_ms);
	return true;
}

/* Returns whether new flows should go to other targets or zones. */
bool relay_health_is_avoided(const struct relay_health *health, int64_t now_ms)
{
	return now_ms < health->avoided_until_ms;
}
