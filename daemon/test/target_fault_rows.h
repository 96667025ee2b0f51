#ifndef TARGET_FAULT_ROWS_H
#define TARGET_FAULT_ROWS_H

#include <fakes/script_target.h>

#define SCRIPT_COUNT_MAX 3

/* Requests for the rows; GET is repeatable and POST is not. */
#define GET "GET /x HTTP/1.1\r\nHost: s\r\n"
#define HEAD "HEAD /x HTTP/1.1\r\nHost: s\r\n"
#define POST "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n"
#define POST_BODY "\r\nbody"
#define SHORT_DEADLINE "Shallot-Deadline-Ms: 200\r\n"
#define GET_HTTP_1_0 "GET /x HTTP/1.0\r\nHost: s\r\nConnection: keep-alive\r\n"

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define OK_RESPONSE OK_HEAD "Content-Length: 5\r\n\r\nhello"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define SHED                                                                   \
	"HTTP/1.1 503 Busy\r\nShallot-Outcome: not-run\r\n"                    \
	"Content-Length: 0\r\n\r\n"
#define BUSY "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

#define RUN                                                                    \
	{                                                                      \
		SCRIPT_COUNT_EXECUTION, NULL, 0                                \
	}
#define SEND(text)                                                             \
	{                                                                      \
		SCRIPT_SEND, text, 0                                           \
	}
#define WAIT(ms)                                                               \
	{                                                                      \
		SCRIPT_WAIT, NULL, ms                                          \
	}
#define CLOSE                                                                  \
	{                                                                      \
		SCRIPT_CLOSE, NULL, 0                                          \
	}
#define RESET                                                                  \
	{                                                                      \
		SCRIPT_RESET, NULL, 0                                          \
	}
#define HANG                                                                   \
	{                                                                      \
		SCRIPT_HANG, NULL, 0                                           \
	}
#define OK_SCRIPT                                                              \
	{                                                                      \
		RUN, SEND(OK_RESPONSE),                                        \
	}

/*
 * The target runs scripts[n] for the nth request. outcome is what the caller
 * receives, and run_count is how often the request ran. If second_outcome is
 * set, the caller sends the request again on the same connection.
 */
struct row {
	const char *name;
	const char *request;
	const char *body;
	struct script_step scripts[SCRIPT_COUNT_MAX][SCRIPT_STEP_COUNT_MAX];
	uint64_t script_count;
	const char *outcome;
	int64_t status;
	uint64_t body_bytes;
	const char *second_outcome;
	uint64_t run_count;
};

/* Faults before and within a response, and malformed responses. */
static const struct row fault_rows[] = {
	{"well", POST, POST_BODY, {OK_SCRIPT}, 1, "whole", 200, 5, "whole", 2},
	{"reset-before-headers",
	 POST,
	 POST_BODY,
	 {{RUN, RESET}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"close-before-headers",
	 POST,
	 POST_BODY,
	 {{RUN, CLOSE}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"reset-in-headers",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Content-"), RESET}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"reset-behind-headers",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Content-Length: 5\r\n\r\n"), WAIT(20), RESET}},
	 1,
	 "broken",
	 200,
	 5,
	 NULL,
	 1},
	{"short-body",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Content-Length: 9\r\n\r\nhello"), CLOSE}},
	 1,
	 "broken",
	 200,
	 9,
	 NULL,
	 1},
	{"body-stalls",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Content-Length: 9\r\n\r\nhello"), HANG}},
	 1,
	 "broken",
	 200,
	 9,
	 NULL,
	 1},
	{"hangs",
	 POST SHORT_DEADLINE,
	 POST_BODY,
	 {{RUN, HANG}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"late-answer",
	 POST SHORT_DEADLINE,
	 POST_BODY,
	 {{RUN, WAIT(600), SEND(OK_RESPONSE)}, OK_SCRIPT},
	 2,
	 "unknown",
	 504,
	 0,
	 "whole",
	 2},
	{"endless-body",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(CHUNKED), {SCRIPT_SEND_CHUNKS, NULL, 65536}}},
	 1,
	 "broken",
	 200,
	 0,
	 NULL,
	 1},
	{"garbage",
	 POST,
	 POST_BODY,
	 {{RUN, SEND("\x01\x02 garbage\r\n\r\n")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"status-zero",
	 POST,
	 POST_BODY,
	 {{RUN, SEND("HTTP/1.1 0 x\r\n\r\n")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"status-large",
	 POST,
	 POST_BODY,
	 {{RUN, SEND("HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"control-in-reason",
	 POST,
	 POST_BODY,
	 {{RUN, SEND("HTTP/1.1 200 a\rb\r\nContent-Length: 0\r\n\r\n")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"control-in-header",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "A: b\rc\r\nContent-Length: 0\r\n\r\n")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"sheds",
	 POST,
	 POST_BODY,
	 {{SEND(SHED)}},
	 1,
	 "not-run",
	 503,
	 0,
	 NULL,
	 0},
	{"sheds-then-well",
	 POST,
	 POST_BODY,
	 {{SEND(SHED)}, OK_SCRIPT},
	 2,
	 "whole",
	 200,
	 5,
	 NULL,
	 1},
	{"busy-without-word",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(BUSY)}},
	 1,
	 "whole",
	 503,
	 0,
	 NULL,
	 1},
	{"claims-unknown",
	 POST,
	 POST_BODY,
	 {{RUN, SEND("HTTP/1.1 504 x\r\nShallot-Outcome: not-run\r\n"
		     "Content-Length: 0\r\n\r\n")}},
	 1,
	 "whole",
	 504,
	 0,
	 NULL,
	 1},
	{"two-lengths",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Content-Length: 5\r\nContent-Length: 2\r\n\r\n"
			     "hello")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"length-and-chunks",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Content-Length: 5\r\n"
			     "Transfer-Encoding: chunked\r\n\r\nhello")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"negative-length",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Content-Length: -5\r\n\r\nhello")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
};

#endif
