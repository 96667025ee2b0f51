#include <core/token_bucket.h>

#define MS_PER_S 1000

/* Returns a full bucket that refills at rate_bytes_per_s up to burst_bytes. */
struct token_bucket token_bucket_full(uint32_t rate_bytes_per_s,
				      uint32_t burst_bytes, int64_t now_ms)
{
	return (struct token_bucket){.rate_bytes_per_s = rate_bytes_per_s,
				     .burst_bytes = burst_bytes,
				     .level_bytes = burst_bytes,
				     .refilled_ms = now_ms};
}

static void refill(struct token_bucket *budget, int64_t now_ms)
{
	int64_t gained_bytes = (now_ms - budget->refilled_ms) *
			       budget->rate_bytes_per_s / MS_PER_S;

	if (gained_bytes <= 0)
		return;
	budget->refilled_ms = now_ms;
	budget->level_bytes += gained_bytes;
	if (budget->level_bytes > budget->burst_bytes)
		budget->level_bytes = budget->burst_bytes;
}

/* Removes bytes from the bucket; the level may become negative. */
void token_bucket_charge(struct token_bucket *budget, uint32_t bytes,
			 int64_t now_ms)
{
	refill(budget, now_ms);
	budget->level_bytes -= bytes;
}

/* Returns how long to wait until the level is at least 0. */
uint32_t token_bucket_wait_ms(struct token_bucket *budget, int64_t now_ms)
{
	refill(budget, now_ms);
	if (budget->level_bytes >= 0)
		return 0;
	return (uint32_t)(-budget->level_bytes * MS_PER_S /
				  budget->rate_bytes_per_s +
			  1);
}
