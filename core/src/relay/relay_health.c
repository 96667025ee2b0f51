#include <core/relay_health.h>

/* Doublings that are worth counting; the limit cuts in before. */
#define DOUBLING_COUNT_MAX 16

/* Takes an answer as proof of life, whatever went unanswered before. */
void relay_health_answered(struct relay_health *health, int64_t now_ms)
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
 * Notes that a packet sent at sent_ms got no answer; one that was sent before
 * the last answer says nothing. Returns true when avoidance begins. A trial
 * after an avoidance needs no second witness.
 */
bool relay_health_unanswered(struct relay_health *health,
			     const struct relay_health_limits *limits,
			     int64_t sent_ms, int64_t now_ms)
{
	bool is_avoided = relay_health_is_avoided(health, now_ms);

	if (health->answered_ms > sent_ms || is_avoided)
		return false;
	health->unanswered_count++;
	if (health->unanswered_count < limits->unanswered_count &&
	    health->avoidance_count == 0)
		return false;
	health->avoided_until_ms = now_ms + avoid_ms(health, limits);
	if (health->avoidance_count < DOUBLING_COUNT_MAX)
		health->avoidance_count++;
	health->unanswered_count = 0;
	return true;
}

/* Tells whether new flows should go elsewhere. */
bool relay_health_is_avoided(const struct relay_health *health, int64_t now_ms)
{
	return now_ms < health->avoided_until_ms;
}
