#include "request_counters.h"

#define REQUESTS_HELP "Requests ended, by outcome."
#define ATTEMPTS_HELP "Attempts at targets ended, by outcome."
#define REQUESTS(outcome) "shallot_requests_total{outcome=\"" outcome "\"}"
#define ATTEMPTS(outcome) "shallot_attempts_total{outcome=\"" outcome "\"}"

static const struct counter_row rows[REQUEST_COUNTER_COUNT] = {
	[REQUESTS_RECEIVED] = {"shallot_requests_received_total",
			       "Requests read from callers.", COUNTER_TOTAL},
	[REQUESTS_ANSWERED] = {REQUESTS("answered"), REQUESTS_HELP,
			       COUNTER_TOTAL},
	[REQUESTS_NOT_RUN] = {REQUESTS("not_run"), REQUESTS_HELP,
			      COUNTER_TOTAL},
	[REQUESTS_OUTCOME_UNKNOWN] = {REQUESTS("unknown"), REQUESTS_HELP,
				      COUNTER_TOTAL},
	[REQUESTS_REJECTED] = {REQUESTS("rejected"), REQUESTS_HELP,
			       COUNTER_TOTAL},
	[REQUESTS_ABORTED] = {REQUESTS("cut"), REQUESTS_HELP, COUNTER_TOTAL},
	[REQUESTS_CALLER_GONE] = {REQUESTS("caller_gone"), REQUESTS_HELP,
				  COUNTER_TOTAL},
	[ATTEMPTS_FIRST + ATTEMPT_COMPLETE] = {ATTEMPTS("whole"), ATTEMPTS_HELP,
					       COUNTER_TOTAL},
	[ATTEMPTS_FIRST + ATTEMPT_NOT_SENT] = {ATTEMPTS("not_sent"),
					       ATTEMPTS_HELP, COUNTER_TOTAL},
	[ATTEMPTS_FIRST + ATTEMPT_SHED] = {ATTEMPTS("shed"), ATTEMPTS_HELP,
					   COUNTER_TOTAL},
	[ATTEMPTS_FIRST + ATTEMPT_RESET] = {ATTEMPTS("reset"), ATTEMPTS_HELP,
					    COUNTER_TOTAL},
	[ATTEMPTS_FIRST + ATTEMPT_TRUNCATED] = {ATTEMPTS("truncated"),
						ATTEMPTS_HELP, COUNTER_TOTAL},
	[ATTEMPTS_FIRST + ATTEMPT_TIMEOUT] = {ATTEMPTS("timeout"),
					      ATTEMPTS_HELP, COUNTER_TOTAL},
	[ATTEMPTS_FIRST + ATTEMPT_MALFORMED] = {ATTEMPTS("malformed"),
						ATTEMPTS_HELP, COUNTER_TOTAL},
	[ATTEMPTS_STARTED] = {"shallot_attempts_started_total",
			      "Attempts started at targets.", COUNTER_TOTAL},
	[ATTEMPTS_CANCELLED] = {"shallot_attempts_cancelled_total",
				"Attempts that nobody waited for any more.",
				COUNTER_TOTAL},
	[REQUESTS_OPEN] = {"shallot_requests_open",
			   "Requests whose answer has not all gone out.",
			   COUNTER_GAUGE},
	[CONNECTIONS_OPEN] = {"shallot_caller_connections_open",
			      "Connections of callers.", COUNTER_GAUGE},
	[BUFFERED_BYTES] = {"shallot_buffered_bytes",
			    "Bytes held of requests and answers.",
			    COUNTER_GAUGE},
};

/* Creates the frontend's counters. Free them with counter_set_free. */
struct counter_set *request_counters_new(void)
{
	return counter_set_new(rows, REQUEST_COUNTER_COUNT);
}
