#ifndef CORE_ATTEMPT_OUTCOME_H
#define CORE_ATTEMPT_OUTCOME_H

/* How one attempt at a target ended, as reported by the HTTP frontend. */
enum attempt_outcome {
	/* The complete response arrived. */
	ATTEMPT_COMPLETE,
	/* No byte can have reached the target: connection refused, no route. */
	ATTEMPT_NOT_SENT,
	/* The target reported that it did not run the request. */
	ATTEMPT_SHED,
	/* The connection broke after bytes were sent, before the headers. */
	ATTEMPT_RESET,
	/* The connection broke after the headers, inside the response. */
	ATTEMPT_TRUNCATED,
	/* No response arrived before the attempt's deadline. */
	ATTEMPT_TIMEOUT,
	/* The response was not valid HTTP or exceeded a limit. */
	ATTEMPT_MALFORMED,
	ATTEMPT_OUTCOME_COUNT,
};

#endif
