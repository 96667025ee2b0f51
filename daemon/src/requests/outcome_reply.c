#include "outcome_reply.h"

#include "request_reader.h"

#include <event2/buffer.h>

#define STATUS_UNAVAILABLE 503
#define STATUS_UNKNOWN 504
#define MS_PER_S 1000
#define NUMBER_BYTES 16

/* What each kind of refusal looks like to a caller. */
static const struct {
	int status;
	const char *reason;
	const char *outcome;
} replies[] = {
	[REFUSAL_NOT_RUN] = {STATUS_UNAVAILABLE, "Service Unavailable",
			     "not-run"},
	[REFUSAL_UNKNOWN] = {STATUS_UNKNOWN, "Gateway Timeout", "unknown"},
};

static struct evkeyvalq *headers_of(struct caller_exchange *exchange)
{
	return evhttp_request_get_output_headers(
		caller_exchange_request(exchange));
}

/* Retry-After counts in whole seconds, of which there is at least one. */
static void add_retry_after(struct caller_exchange *exchange,
			    uint32_t retry_after_ms)
{
	char text[NUMBER_BYTES];
	uint32_t retry_after_s = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;

	g_snprintf(text, sizeof(text), "%u", MAX(retry_after_s, 1));
	evhttp_add_header(headers_of(exchange), "Retry-After", text);
}

/* Tells the caller that its request did not run, or that nobody knows. */
void outcome_reply_refusal(struct caller_exchange *exchange,
			   const struct refusal *refusal)
{
	struct evkeyvalq *headers = headers_of(exchange);

	evhttp_add_header(headers, "Shallot-Outcome",
			  replies[refusal->kind].outcome);
	evhttp_add_header(headers, "Shallot-Reason",
			  reason_name(refusal->reason));
	if (refusal->kind == REFUSAL_NOT_RUN)
		add_retry_after(exchange, refusal->retry_after_ms);
	caller_exchange_reply(exchange, replies[refusal->kind].status,
			      replies[refusal->kind].reason);
}

static const char *status_reason(int status)
{
	return status == STATUS_MISDIRECTED ? "Misdirected Request"
					    : "Bad Request";
}

/* Rejects a request that was never tried and must not be sent again as it is.
 */
void outcome_reply_status(struct caller_exchange *exchange, int status)
{
	evhttp_add_header(headers_of(exchange), "Shallot-Outcome", "not-run");
	caller_exchange_reply(exchange, status, status_reason(status));
}
