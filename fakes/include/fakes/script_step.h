#ifndef FAKES_SCRIPT_STEP_H
#define FAKES_SCRIPT_STEP_H

#include <stdint.h>

/* One thing that a misbehaving target does with a request. */
enum script_action {
	/* Ends the script; the connection waits for its next request. */
	SCRIPT_KEEP,
	/* Counts that the request ran here. */
	SCRIPT_RUN,
	/* Sends the text. */
	SCRIPT_SEND,
	/* Sends amount bytes, as fast as they are taken. */
	SCRIPT_SEND_BYTES,
	/* Sends a chunk of amount bytes again and again. */
	SCRIPT_SEND_CHUNKS,
	/* Waits amount milliseconds. */
	SCRIPT_WAIT,
	/* Closes in order. */
	SCRIPT_CLOSE,
	/* Closes with a reset. */
	SCRIPT_RESET,
	/* Does nothing more. */
	SCRIPT_HANG,
};

struct script_step {
	enum script_action action;
	const char *text;
	uint64_t amount;
};

#define SCRIPT_STEP_COUNT_MAX 6

#endif
