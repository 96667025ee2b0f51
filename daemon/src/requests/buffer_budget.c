#include "buffer_budget.h"

/* Counts bytes that are held already; false means that the limit is passed. */
bool buffer_budget_take(struct buffer_budget *budget, uint64_t length_bytes)
{
	budget->held_bytes += length_bytes;
	return budget->held_bytes <= budget->limit_bytes;
}

/* Tells whether half of the limit is taken, so that holders should save. */
bool buffer_budget_is_tight(const struct buffer_budget *budget)
{
	return budget->held_bytes >= budget->limit_bytes / 2;
}

/* Counts bytes that are no longer held. */
void buffer_budget_return(struct buffer_budget *budget, uint64_t length_bytes)
{
	budget->held_bytes -= length_bytes;
}
