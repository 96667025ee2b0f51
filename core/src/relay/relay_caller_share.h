#ifndef RELAY_CALLER_SHARE_H
#define RELAY_CALLER_SHARE_H

#include <core/endpoint.h>
#include <stdbool.h>

/* Which callers have opened more flows than their share in the last second. */
struct relay_caller_share;

struct relay_caller_share *relay_caller_share_new(void);
void relay_caller_share_free(struct relay_caller_share *share);
void relay_caller_share_add(struct relay_caller_share *share,
			    const struct ip_addr *caller, int64_t now_ms);
bool relay_caller_share_is_exceeded(struct relay_caller_share *share,
				    const struct ip_addr *caller,
				    int64_t now_ms);

#endif
