#ifndef CORE_TOKEN_BUCKET_H
#define CORE_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A token bucket that counts bytes. Traffic that must not wait is charged even
 * if the level becomes negative; other traffic waits until it is at least 0.
 */
struct token_bucket {
	uint32_t rate_bytes_per_s;
	int64_t burst_bytes;
	int64_t level_bytes;
	int64_t refilled_ms;
};

struct token_bucket token_bucket_initial(uint32_t rate_bytes_per_s,
					 uint32_t burst_bytes, int64_t now_ms);
void token_bucket_charge(struct token_bucket *bucket, uint32_t bytes,
			 int64_t now_ms);
uint32_t token_bucket_wait_ms(struct token_bucket *bucket, int64_t now_ms);

#endif
