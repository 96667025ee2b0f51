#ifndef CORE_ATTEMPT_OUTCOME_H
#define CORE_ATTEMPT_OUTCOME_H

/* How one attempt at a target ended, as the front end saw it. */
enum attempt_outcome {
	/* The whole answer arrived. */
	ATTEMPT_WHOLE,
	/* Provably no byte reached the target: refused or no route. */
	ATTEMPT_NOT_SENT,
	/* The target itself said that it did not run the request. */
	ATTEMPT_SHED,
	/* The connection broke after bytes were sent, before the headers. */
	ATTEMPT_RESET,
	/* The answer broke off after its headers. */
	ATTEMPT_TRUNCATED,
	/* Nothing came before the attempt's deadline. */
	ATTEMPT_TIMEOUT,
	/* The answer was not HTTP or broke a limit. */
	ATTEMPT_MALFORMED,
	ATTEMPT_OUTCOME_COUNT,
};

#endif
