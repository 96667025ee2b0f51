#include "buffer_budget.h"

/* Adds buffered bytes. Returns whether the total is within the limit. */
bool buffer_budget_charge(struct buffer_budget *budget, uint64_t length_bytes)
{
	budget->used_bytes += length_bytes;
	return budget->used_bytes <= budget->limit_bytes;
}

/*
 * Returns whether at least half of the limit is used. Exchanges with callers
 * then use smaller output buffers.
 */
bool buffer_budget_is_under_pressure(const struct buffer_budget *budget)
{
	return budget->used_bytes >= budget->limit_bytes / 2;
}

/* Subtracts bytes that are no longer buffered. */
void buffer_budget_release(struct buffer_budget *budget, uint64_t length_bytes)
{
	budget->used_bytes -= length_bytes;
}
