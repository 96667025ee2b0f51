#ifndef FAKES_SCRIPT_STEP_H
#define FAKES_SCRIPT_STEP_H

#include <stdint.h>

/* What a scripted target does in one step of handling a request. */
enum script_action {
	/* Ends the script; the connection waits for the next request. */
	SCRIPT_END,
	/* Counts the request as executed. */
	SCRIPT_COUNT_EXECUTION,
	/* Sends the text. */
	SCRIPT_SEND,
	/* Sends amount zero bytes, as fast as the peer reads them. */
	SCRIPT_SEND_BYTES,
	/* Sends chunks of amount bytes endlessly (chunked transfer coding). */
	SCRIPT_SEND_CHUNKS,
	/* Waits amount milliseconds. */
	SCRIPT_WAIT,
	/* Closes the connection normally, once all output is written. */
	SCRIPT_CLOSE,
	/*
	 * Closes the connection with a TCP reset, once all output is written.
	 */
	SCRIPT_RESET,
	/* Leaves the request without any further response. */
	SCRIPT_HANG,
};

struct script_step {
	enum script_action action;
	const char *text;
	uint64_t amount;
};

#define SCRIPT_STEP_COUNT_MAX 6

#endif
