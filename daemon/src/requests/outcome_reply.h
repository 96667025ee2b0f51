#ifndef OUTCOME_REPLY_H
#define OUTCOME_REPLY_H

#include "caller_exchange.h"

#include <core/refusal.h>

/* Answers of our own, which say what became of the request. */
void outcome_reply_refusal(struct caller_exchange *exchange,
			   const struct refusal *refusal);
void outcome_reply_status(struct caller_exchange *exchange, int status);

#endif
