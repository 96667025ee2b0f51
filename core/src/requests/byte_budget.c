#include <core/byte_budget.h>

#define MS_PER_S 1000

/* Makes a full bucket that gains rate_bytes_per_s up to burst_bytes. */
struct byte_budget byte_budget_full(uint32_t rate_bytes_per_s,
				    uint32_t burst_bytes, int64_t now_ms)
{
	return (struct byte_budget){.rate_bytes_per_s = rate_bytes_per_s,
				    .burst_bytes = burst_bytes,
				    .level_bytes = burst_bytes,
				    .filled_ms = now_ms};
}

static void fill(struct byte_budget *budget, int64_t now_ms)
{
	int64_t gained_bytes = (now_ms - budget->filled_ms) *
			       budget->rate_bytes_per_s / MS_PER_S;

	if (gained_bytes <= 0)
		return;
	budget->filled_ms = now_ms;
	budget->level_bytes += gained_bytes;
	if (budget->level_bytes > budget->burst_bytes)
		budget->level_bytes = budget->burst_bytes;
}

/* Takes bytes out, whether they are there or not. */
void byte_budget_charge(struct byte_budget *budget, uint32_t bytes,
			int64_t now_ms)
{
	fill(budget, now_ms);
	budget->level_bytes -= bytes;
}

/* Returns how long until the bucket is out of debt; 0 when it is. */
uint32_t byte_budget_wait_ms(struct byte_budget *budget, int64_t now_ms)
{
	fill(budget, now_ms);
	if (budget->level_bytes >= 0)
		return 0;
	return (uint32_t)(-budget->level_bytes * MS_PER_S /
				  budget->rate_bytes_per_s +
			  1);
}
