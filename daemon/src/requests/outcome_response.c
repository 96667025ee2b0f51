#include "outcome_response.h"

#include "request_reader.h"

#include <event2/buffer.h>

#define STATUS_SERVICE_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
#define MS_PER_S 1000
#define DECIMAL_TEXT_BYTES 16

/* The response for each kind of refusal. */
static const struct {
	int status;
	const char *reason_phrase;
	const char *outcome;
} responses[] = {
	[REFUSAL_NOT_RUN] = {STATUS_SERVICE_UNAVAILABLE, "Service Unavailable",
			     "not-run"},
	[REFUSAL_UNKNOWN] = {STATUS_GATEWAY_TIMEOUT, "Gateway Timeout",
			     "unknown"},
};

static struct evkeyvalq *response_headers(struct caller_exchange *exchange)
{
	return evhttp_request_get_output_headers(
		caller_exchange_request(exchange));
}

/* Adds Retry-After in whole seconds, rounded up, at least 1. */
static void add_retry_after(struct caller_exchange *exchange,
			    uint32_t retry_after_ms)
{
	char text[DECIMAL_TEXT_BYTES];
	uint32_t retry_after_s = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;

	g_snprintf(text, sizeof(text), "%u", MAX(retry_after_s, 1));
	evhttp_add_header(response_headers(exchange), "Retry-After", text);
}

/* Responds that the request did not run, or that its outcome is unknown. */
void outcome_response_send_refusal(struct caller_exchange *exchange,
				   const struct refusal *refusal)
{
	struct evkeyvalq *headers = response_headers(exchange);

	evhttp_add_header(headers, "Shallot-Outcome",
			  responses[refusal->kind].outcome);
	evhttp_add_header(headers, "Shallot-Reason",
			  reason_name(refusal->reason));
	if (refusal->kind == REFUSAL_NOT_RUN)
		add_retry_after(exchange, refusal->retry_after_ms);
	caller_exchange_send_response(exchange, responses[refusal->kind].status,
				      responses[refusal->kind].reason_phrase);
}

static const char *reason_phrase(int status)
{
	return status == STATUS_MISDIRECTED_REQUEST ? "Misdirected Request"
						    : "Bad Request";
}

/* Rejects a request that never ran and must not be retried unchanged. */
void outcome_response_send_rejection(struct caller_exchange *exchange,
				     int status)
{
	evhttp_add_header(response_headers(exchange), "Shallot-Outcome",
			  "not-run");
	caller_exchange_send_response(exchange, status, reason_phrase(status));
}
