#include "store_backoff.h"

/* Calls to the store are charged, also those that it refuses. */
#define STEP_MIN_MS 150
#define STEP_MAX_MS 1500

/* Makes the next backoff the shortest one; a running one goes on. */
void store_backoff_reset(struct store_backoff *backoff)
{
	backoff->step_ms = STEP_MIN_MS;
}

/* Starts a backoff, which is longer by the random part. */
void store_backoff_record_failure(struct store_backoff *backoff,
				  uint32_t random_ms, int64_t now_ms)
{
	backoff->until_ms = now_ms + backoff->step_ms + random_ms;
	backoff->step_ms = backoff->step_ms < STEP_MAX_MS / 2
				   ? 2 * backoff->step_ms
				   : STEP_MAX_MS;
}

/* Makes a backoff last until the time at least. */
void store_backoff_delay(struct store_backoff *backoff, int64_t until_ms)
{
	if (backoff->until_ms < until_ms)
		backoff->until_ms = until_ms;
}

/* Returns whether the store is not to be called yet. */
bool store_backoff_is_active(const struct store_backoff *backoff,
			     int64_t now_ms)
{
	return now_ms < backoff->until_ms;
}
