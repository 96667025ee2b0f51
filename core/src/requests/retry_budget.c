#include <core/retry_budget.h>

#define RETRY_COST_MILLI 1000

/*
 * Initializes a full budget. Each first attempt earns gain_milli thousandths of
 * a retry, up to limit_milli.
 */
void retry_budget_init(struct retry_budget *budget, uint32_t gain_milli,
		       uint32_t limit_milli)
{
	budget->available_milli = limit_milli;
	budget->gain_milli = gain_milli;
	budget->limit_milli = limit_milli;
}

/* Adds the gain for one first attempt. */
void retry_budget_earn(struct retry_budget *budget)
{
	budget->available_milli += budget->gain_milli;
	if (budget->available_milli > budget->limit_milli)
		budget->available_milli = budget->limit_milli;
}

/* Spends one retry of the budget; returns false when too little is left. */
bool retry_budget_spend(struct retry_budget *budget)
{
	if (budget->available_milli < RETRY_COST_MILLI)
		return false;
	budget->available_milli -= RETRY_COST_MILLI;
	return true;
}
