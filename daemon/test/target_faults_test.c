/*
 * A target that misbehaves: what the caller sees, and how often the request
 * ran.
 */
#include "node_fixture.h"
#include "raw_caller.h"

#include <fakes/script_target.h>
#include <fakes/test_main.h>

#define SCRIPT_COUNT_MAX 3

/* Requests that a row sends; GET may be repeated and POST may not. */
#define GET "GET /x HTTP/1.1\r\nHost: s\r\n"
#define HEAD "HEAD /x HTTP/1.1\r\nHost: s\r\n"
#define POST "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n"
#define POST_BODY "\r\nbody"
#define SHORT_DEADLINE "Shallot-Deadline-Ms: 200\r\n"
#define GET_10 "GET /x HTTP/1.0\r\nHost: s\r\nConnection: keep-alive\r\n"

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define OK_ANSWER OK_HEAD "Content-Length: 5\r\n\r\nhello"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define SHED                                                                   \
	"HTTP/1.1 503 Busy\r\nShallot-Outcome: not-run\r\n"                    \
	"Content-Length: 0\r\n\r\n"
#define BUSY "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

#define RUN                                                                    \
	{                                                                      \
		SCRIPT_RUN, NULL, 0                                            \
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
#define WELL                                                                   \
	{                                                                      \
		RUN, SEND(OK_ANSWER),                                          \
	}

/*
 * The target's script for each request that reaches it, what the caller gets,
 * and how often the request ran. A row that names a second outcome sends the
 * request twice on one connection.
 */
static const struct row {
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
} rows[] = {
	{"well", POST, POST_BODY, {WELL}, 1, "whole", 200, 5, "whole", 2},
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
	 {{RUN, WAIT(600), SEND(OK_ANSWER)}, WELL},
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
	 {{SEND(SHED)}, WELL},
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
	{"no-length",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "Connection: close\r\n\r\nhello"), CLOSE}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"early-hint",
	 POST,
	 POST_BODY,
	 {{RUN, SEND("HTTP/1.1 103 x\r\n\r\n" OK_ANSWER)}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"large-header",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD), {SCRIPT_SEND_BYTES, NULL, 65536}, HANG}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"bad-header-name",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(OK_HEAD "a b: c\r\nContent-Length: 5\r\n\r\nhello")}},
	 1,
	 "unknown",
	 504,
	 0,
	 NULL,
	 1},
	{"chunks",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(CHUNKED "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")}},
	 1,
	 "whole",
	 200,
	 5,
	 "whole",
	 2},
	{"bad-chunk-size",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(CHUNKED "3\r\nabc\r\nzz\r\nde\r\n0\r\n\r\n")}},
	 1,
	 "broken",
	 200,
	 3,
	 NULL,
	 1},
	{"no-last-chunk",
	 POST,
	 POST_BODY,
	 {{RUN, SEND(CHUNKED "3\r\nabc\r\n"), CLOSE}},
	 1,
	 "broken",
	 200,
	 3,
	 NULL,
	 1},
	{"huge-chunk",
	 POST,
	 POST_BODY,
	 {{RUN,
	   SEND(CHUNKED "7fffffff\r\n"),
	   {SCRIPT_SEND_BYTES, NULL, 4 * 1024 * 1024},
	   HANG}},
	 1,
	 "broken",
	 200,
	 0,
	 NULL,
	 1},
	{"more-than-length",
	 GET,
	 "\r\n",
	 {{RUN, SEND(OK_ANSWER "extra")}, WELL},
	 2,
	 "whole",
	 200,
	 5,
	 "whole",
	 2},
	{"answers-twice",
	 GET,
	 "\r\n",
	 {{RUN, SEND(OK_ANSWER), SEND(SHED)}, WELL},
	 2,
	 "whole",
	 200,
	 5,
	 "whole",
	 2},
	{"stale-kept-post",
	 POST,
	 POST_BODY,
	 {WELL, {CLOSE}},
	 2,
	 "whole",
	 200,
	 5,
	 "unknown",
	 1},
	{"stale-kept-get",
	 GET,
	 "\r\n",
	 {WELL, {CLOSE}, WELL},
	 3,
	 "whole",
	 200,
	 5,
	 "whole",
	 2},
	{"get-reset-then-well",
	 GET,
	 "\r\n",
	 {{RUN, RESET}, WELL},
	 2,
	 "whole",
	 200,
	 5,
	 NULL,
	 2},
	{"get-cut-not-resent",
	 GET,
	 "\r\n",
	 {{RUN, SEND(OK_HEAD "Content-Length: 9\r\n\r\nhello"), CLOSE}, WELL},
	 2,
	 "broken",
	 200,
	 9,
	 NULL,
	 1},
	{"head",
	 HEAD,
	 "\r\n",
	 {{RUN, SEND(OK_HEAD "Content-Length: 5\r\n\r\n")}},
	 1,
	 "whole",
	 200,
	 0,
	 "whole",
	 2},
	{"no-content",
	 GET,
	 "\r\n",
	 {{RUN, SEND("HTTP/1.1 204 No Content\r\n\r\n")}},
	 1,
	 "whole",
	 204,
	 0,
	 "whole",
	 2},
	{"old-caller-chunks",
	 GET_10,
	 "\r\n",
	 {{RUN, SEND(CHUNKED "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")}},
	 1,
	 "whole",
	 200,
	 5,
	 NULL,
	 1},
	{"old-caller-cut",
	 GET_10,
	 "\r\n",
	 {{RUN, SEND(CHUNKED "3\r\nabc\r\n"), WAIT(50), CLOSE}},
	 1,
	 "broken",
	 200,
	 3,
	 NULL,
	 1},
};

struct fixture {
	struct script_target *target;
	struct node_fixture node;
	struct raw_caller caller;
};

static const char more_settings[] =
	"log: {level: error}\n"
	"requests: {stall_timeout_ms: 400, answer_timeout_ms: 1200}\n";

static void setup(struct fixture *fixture, const struct row *row)
{
	struct script_target_options options = {
		.scripts = row->scripts,
		.script_count = (uint32_t)row->script_count,
	};
	char text[ENDPOINT_TEXT_BYTES];
	struct endpoint endpoint;
	GError *error = NULL;
	char *rules;

	fixture->target = script_target_new(&options, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	endpoint = script_target_endpoint(fixture->target);
	rules = g_strdup_printf("s address=10.0.0.1:80 pool=%s protocol=http "
				"# asked by Lin Yu-ting\n",
				endpoint_format(&endpoint, text));
	node_fixture_start(&fixture->node, rules, more_settings);
	raw_caller_open(&fixture->caller,
			&fixture->node.settings->listen_requests);
	g_free(rules);
}

static void teardown(struct fixture *fixture)
{
	raw_caller_close(&fixture->caller);
	node_fixture_stop(&fixture->node);
	script_target_free(fixture->target);
}

static void ask(struct fixture *fixture, const struct row *row,
		struct raw_answer *answer)
{
	bool has_body = !g_str_has_prefix(row->request, "HEAD");

	raw_caller_send(&fixture->caller, row->request, strlen(row->request));
	raw_caller_send(&fixture->caller, row->body, strlen(row->body));
	raw_caller_read(&fixture->caller, has_body, answer);
}

START_TEST(test_target_fault)
{
	const struct row *row = &rows[_i];
	struct fixture fixture;
	struct raw_answer answer;

	test_row("target_faults", row->name);
	setup(&fixture, row);
	ask(&fixture, row, &answer);
	ck_assert_str_eq(raw_answer_outcome(&answer), row->outcome);
	if (answer.is_whole) {
		ck_assert_int_eq(answer.status, row->status);
		ck_assert_uint_eq(answer.body_bytes, row->body_bytes);
	}
	g_free(answer.head);
	if (row->second_outcome) {
		ask(&fixture, row, &answer);
		ck_assert_str_eq(raw_answer_outcome(&answer),
				 row->second_outcome);
		g_free(answer.head);
	}
	ck_assert_uint_eq(script_target_run_count(fixture.target),
			  row->run_count);
	teardown(&fixture);
}
END_TEST

/* A target that is gone: no byte reaches it, so the request did not run. */
START_TEST(test_refused)
{
	struct fixture fixture;
	struct raw_answer answer;

	test_row("target_faults", "refused");
	setup(&fixture, &rows[0]);
	script_target_free(fixture.target);
	fixture.target = NULL;
	ask(&fixture, &rows[0], &answer);
	ck_assert_str_eq(raw_answer_outcome(&answer), "not-run");
	g_free(answer.head);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("target_faults");
	TCase *tcase = tcase_create("target_faults");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_target_fault, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tcase, test_refused);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
