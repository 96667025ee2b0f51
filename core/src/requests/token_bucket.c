#include <core/token_bucket.h>

#define MS_PER_S 1000

/* Returns a full bucket that refills at rate_bytes_per_s up to burst_bytes. */
struct token_bucket token_bucket_initial(uint32_t rate_bytes_per_s,
					 uint32_t burst_bytes, int64_t now_ms)
{
	return (struct token_bucket){.rate_bytes_per_s = rate_bytes_per_s,
				     .burst_bytes = burst_bytes,
				     .level_bytes = burst_bytes,
				     .refilled_ms = now_ms};
}

static void refill(struct token_bucket *bucket, int64_t now_ms)
{
	int64_t gained_bytes = (now_ms - bucket->refilled_ms) *
			       bucket->rate_bytes_per_s / MS_PER_S;

	if (gained_bytes <= 0)
		return;
	bucket->refilled_ms = now_ms;
	bucket->level_bytes += gained_bytes;
	if (bucket->level_bytes > bucket->burst_bytes)
		bucket->level_bytes = bucket->burst_bytes;
}

/* Removes bytes from the bucket; the level may become negative. */
void token_bucket_charge(struct token_bucket *bucket, uint32_t bytes,
			 int64_t now_ms)
{
	refill(bucket, now_ms);
	bucket->level_bytes -= bytes;
}

/* Returns how long to wait until the level is at least 0. */
uint32_t token_bucket_wait_ms(struct token_bucket *bucket, int64_t now_ms)
{
	refill(bucket, now_ms);
	if (bucket->level_bytes >= 0)
		return 0;
	return (uint32_t)(-bucket->level_bytes * MS_PER_S /
				  bucket->rate_bytes_per_s +
			  1);
}
