#include <core/outlier.h>

#define FAILURES_TO_EJECT 5
#define EJECTION_BASE_MS 1000
#define EJECTION_DOUBLINGS_MAX 5
#define EJECTED_PERCENT_MAX 30

/* Records a response, which resets the counts of failures and ejections. */
void outlier_record_success(struct outlier *outlier, int64_t now_ms)
{
	outlier->failure_count = 0;
	outlier->ejection_count = 0;
	outlier->last_response_ms = now_ms;
}

/* Records a failure; returns whether the target should be ejected. */
bool outlier_record_failure(struct outlier *outlier)
{
	outlier->failure_count++;
	return outlier->failure_count >= FAILURES_TO_EJECT;
}

/*
 * Ejects the target for 1 s, and for twice as long each further time until it
 * responds again. Until then a single failure is enough to eject it again.
 */
void outlier_eject(struct outlier *outlier, int64_t now_ms)
{
	outlier->ejected_until_ms =
		now_ms + ((int64_t)EJECTION_BASE_MS << outlier->ejection_count);
	outlier->failure_count = FAILURES_TO_EJECT - 1;
	if (outlier->ejection_count < EJECTION_DOUBLINGS_MAX)
		outlier->ejection_count++;
}

/* Returns whether the target is currently ejected. */
bool outlier_is_ejected(const struct outlier *outlier, int64_t now_ms)
{
	return now_ms < outlier->ejected_until_ms;
}

/*
 * Returns how many of a pool's targets may be ejected at the same time: 30
 * percent, rounded up, but always fewer than half.
 */
uint32_t outlier_ejection_limit(uint32_t target_count)
{
	uint32_t share = (target_count * EJECTED_PERCENT_MAX + 99) / 100;
	uint32_t minority = target_count ? (target_count - 1) / 2 : 0;

	return share < minority ? share : minority;
}
