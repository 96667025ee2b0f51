#ifndef BUFFER_BUDGET_H
#define BUFFER_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Counts the bytes of requests and responses that a node buffers. */
struct buffer_budget {
	uint64_t limit_bytes;
	uint64_t used_bytes;
};

bool buffer_budget_charge(struct buffer_budget *budget, uint64_t length_bytes);
bool buffer_budget_is_under_pressure(const struct buffer_budget *budget);
void buffer_budget_release(struct buffer_budget *budget, uint64_t length_bytes);

#endif
