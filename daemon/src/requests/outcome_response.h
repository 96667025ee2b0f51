#ifndef OUTCOME_RESPONSE_H
#define OUTCOME_RESPONSE_H

#include "caller_exchange.h"

#include <core/refusal.h>

/* Responses that the node itself generates, with the request's outcome. */
void outcome_response_send_refusal(struct caller_exchange *exchange,
				   const struct refusal *refusal);
void outcome_response_send_rejection(struct caller_exchange *exchange,
				     int status);

#endif
