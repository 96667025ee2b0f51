#ifndef BUFFER_BUDGET_H
#define BUFFER_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* How many bytes of requests and answers a node holds, and its limit. */
struct buffer_budget {
	uint64_t limit_bytes;
	uint64_t held_bytes;
};

bool buffer_budget_take(struct buffer_budget *budget, uint64_t length_bytes);
bool buffer_budget_is_tight(const struct buffer_budget *budget);
void buffer_budget_return(struct buffer_budget *budget, uint64_t length_bytes);

#endif
