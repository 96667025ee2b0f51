#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits retries to a fraction of first attempts, to prevent retry storms.
 * Fields are in thousandths of a retry.
 */
struct retry_budget {
	uint32_t available_milli;
	uint32_t gain_milli;
	uint32_t limit_milli;
};

void retry_budget_init(struct retry_budget *budget, uint32_t gain_milli,
		       uint32_t limit_milli);
void retry_budget_earn(struct retry_budget *budget);
bool retry_budget_spend(struct retry_budget *budget);

#endif
