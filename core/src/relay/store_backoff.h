#ifndef STORE_BACKOFF_H
#define STORE_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

/*
 * When the store may be called again. step_ms is the length of the next
 * backoff, which doubles with each failure in a row up to a maximum.
 */
struct store_backoff {
	uint32_t step_ms;
	int64_t until_ms;
};

void store_backoff_reset(struct store_backoff *backoff);
void store_backoff_record_failure(struct store_backoff *backoff,
				  uint32_t random_ms, int64_t now_ms);
void store_backoff_delay(struct store_backoff *backoff, int64_t until_ms);
bool store_backoff_is_active(const struct store_backoff *backoff,
			     int64_t now_ms);

#endif
