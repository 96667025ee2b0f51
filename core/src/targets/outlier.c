#include <core/outlier.h>

#define FAILURES_TO_EJECT 5
#define EJECTION_FIRST_MS 1000
#define EJECTION_DOUBLINGS_MAX 5
#define EJECTED_SHARE_PERCENT 30

/* Notes an answer; it ends the run of failures. */
void outlier_succeeded(struct outlier *outlier, int64_t now_ms)
{
	outlier->failure_count = 0;
	outlier->ejection_count = 0;
	outlier->answered_ms = now_ms;
}

/* Notes a failure; returns true when the target ought to be ejected. */
bool outlier_failed(struct outlier *outlier)
{
	outlier->failure_count++;
	return outlier->failure_count >= FAILURES_TO_EJECT;
}

/*
 * Ejects the target for a second, and twice as long each time until it
 * answers again. Then a single failure ejects it anew.
 */
void outlier_eject(struct outlier *outlier, int64_t now_ms)
{
	outlier->ejected_until_ms = now_ms + ((int64_t)EJECTION_FIRST_MS
					      << outlier->ejection_count);
	outlier->failure_count = FAILURES_TO_EJECT - 1;
	if (outlier->ejection_count < EJECTION_DOUBLINGS_MAX)
		outlier->ejection_count++;
}

/* Tells whether the target is ejected now. */
bool outlier_is_ejected(const struct outlier *outlier, int64_t now_ms)
{
	return now_ms < outlier->ejected_until_ms;
}

/*
 * Returns how many of a pool's targets may be ejected at once: three tenths,
 * rounded up, and always fewer than half.
 */
uint32_t outlier_ejection_limit(uint32_t target_count)
{
	uint32_t share = (target_count * EJECTED_SHARE_PERCENT + 99) / 100;
	uint32_t minority = target_count ? (target_count - 1) / 2 : 0;

	return share < minority ? share : minority;
}
