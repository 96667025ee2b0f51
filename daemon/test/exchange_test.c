/*
 * Tests the forwarding of headers and bodies, and callers that disconnect or
 * read slowly.
 */
#include "node_fixture.h"
#include "raw_caller.h"

#include <fakes/script_target.h>
#include <fakes/socket_reset.h>
#include <fakes/test_main.h>

#define POLL_INTERVAL_US 1000
#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
#define LARGE_BODY_BYTES 67108864
#define LARGE_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n"
/* Bytes of a response that the node and the sockets may buffer. */
#define BUFFERED_BYTES_MAX (24 * 1024 * 1024)

static const struct script_step plain_script[][SCRIPT_STEP_COUNT_MAX] = {
	{{SCRIPT_COUNT_EXECUTION, NULL, 0},
	 {SCRIPT_SEND,
	  OK_HEAD "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
		  "Shallot-Outcome: unknown\r\n\r\nhello",
	  0}},
};

static const struct script_step hanging_script[][SCRIPT_STEP_COUNT_MAX] = {
	{{SCRIPT_COUNT_EXECUTION, NULL, 0}, {SCRIPT_HANG, NULL, 0}},
};

static const struct script_step stalling_script[][SCRIPT_STEP_COUNT_MAX] = {
	{{SCRIPT_COUNT_EXECUTION, NULL, 0},
	 {SCRIPT_SEND, OK_HEAD "\r\nhe", 0},
	 {SCRIPT_HANG, NULL, 0}},
};

static const struct script_step large_script[][SCRIPT_STEP_COUNT_MAX] = {
	{{SCRIPT_COUNT_EXECUTION, NULL, 0},
	 {SCRIPT_SEND, LARGE_HEAD, 0},
	 {SCRIPT_SEND_BYTES, NULL, LARGE_BODY_BYTES}},
};

struct fixture {
	struct script_target *target;
	struct node_fixture node;
	struct raw_caller caller;
	struct endpoint service_endpoint;
	struct endpoint unknown_endpoint;
};

static void setup(struct fixture *fixture,
		  const struct script_step (*scripts)[SCRIPT_STEP_COUNT_MAX])
{
	struct script_target_options options = {
		.scripts = scripts,
		.script_count = 1,
	};
	char text[ENDPOINT_TEXT_BYTES];
	char other[ENDPOINT_TEXT_BYTES];
	struct endpoint endpoint;
	GError *error = NULL;
	char *rules;
	char *more_settings;

	fixture->target = script_target_new(&options, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	endpoint = script_target_endpoint(fixture->target);
	fixture->service_endpoint = loopback_free_endpoint();
	fixture->unknown_endpoint = loopback_free_endpoint();
	rules = g_strdup_printf("s address=10.0.0.1:80 pool=%s protocol=http "
				"# asked by Lin Yu-ting\n",
				endpoint_format(&endpoint, text));
	more_settings = g_strdup_printf(
		"log: {level: error}\n"
		"requests: {stall_timeout_ms: 400}\n"
		"services: {s: '%s', other: '%s'}\n",
		endpoint_format(&fixture->service_endpoint, text),
		endpoint_format(&fixture->unknown_endpoint, other));
	node_fixture_start(&fixture->node, rules, more_settings);
	g_free(rules);
	g_free(more_settings);
}

static void teardown(struct fixture *fixture)
{
	raw_caller_close(&fixture->caller);
	node_fixture_stop(&fixture->node);
	script_target_free(fixture->target);
}

enum listen_choice {
	LISTEN_SHARED,
	LISTEN_SERVICE,
	LISTEN_UNKNOWN,
};

/* A request, and text that its forwarded head must or must not contain. */
static const struct {
	const char *name;
	enum listen_choice listen;
	int status;
	const char *request;
	const char *expected_text;
	const char *unexpected_text;
} header_rows[] = {
	{"host-names-service", LISTEN_SHARED, 200,
	 "GET /a?b=c HTTP/1.1\r\nHost: s\r\n\r\n", "GET /a?b=c HTTP/1.1\r\n",
	 "Connection"},
	{"address-names-service", LISTEN_SERVICE, 200,
	 "GET /a HTTP/1.1\r\nHost: www.example\r\n\r\n",
	 "Host: www.example\r\n", "Connection"},
	{"address-of-unknown-service", LISTEN_UNKNOWN, 421,
	 "GET /a HTTP/1.1\r\nHost: s\r\n\r\n", NULL, NULL},
	{"hop-headers-stay", LISTEN_SHARED, 200,
	 "GET /a HTTP/1.1\r\nHost: s\r\nConnection: X-Mine\r\nX-Mine: 1\r\n"
	 "Keep-Alive: 5\r\nX-Else: 2\r\n\r\n",
	 "X-Else: 2\r\n", "X-Mine"},
	{"deadline-passed-on", LISTEN_SHARED, 200,
	 "GET /a HTTP/1.1\r\nHost: s\r\nShallot-Deadline-Ms: 0900\r\n\r\n",
	 "Shallot-Deadline-Ms: ", "0900"},
	{"own-headers-stay", LISTEN_SHARED, 200,
	 "GET /a HTTP/1.1\r\nHost: s\r\nShallot-Outcome: x\r\n\r\n",
	 "Shallot-Deadline-Ms: ", "Shallot-Outcome"},
	{"body-gets-length", LISTEN_SHARED, 200,
	 "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	 "3\r\nabc\r\n0\r\n\r\n",
	 "Content-Length: 3\r\n", "Transfer-Encoding"},
};

static const struct endpoint *listen_endpoint(const struct fixture *fixture,
					      enum listen_choice listen)
{
	if (listen == LISTEN_SERVICE)
		return &fixture->service_endpoint;
	if (listen == LISTEN_UNKNOWN)
		return &fixture->unknown_endpoint;
	return &fixture->node.settings->listen_requests;
}

static void check_target_head(const struct fixture *fixture,
			      const char *expected_text,
			      const char *unexpected_text)
{
	char *head = script_target_last_head(fixture->target);

	ck_assert_msg(strstr(head, expected_text), "%s", head);
	ck_assert_msg(!strstr(head, unexpected_text), "%s", head);
	g_free(head);
}

START_TEST(test_headers)
{
	struct raw_response response;
	struct fixture fixture;

	test_row("exchange", header_rows[_i].name);
	setup(&fixture, plain_script);
	raw_caller_open(&fixture.caller,
			listen_endpoint(&fixture, header_rows[_i].listen));
	raw_caller_send(&fixture.caller, header_rows[_i].request,
			strlen(header_rows[_i].request));
	raw_caller_read(&fixture.caller, true, &response);
	ck_assert_int_eq(response.status, header_rows[_i].status);
	if (response.status == 200) {
		check_target_head(&fixture, header_rows[_i].expected_text,
				  header_rows[_i].unexpected_text);
		ck_assert_ptr_nonnull(strstr(response.head, "\r\nX-End: 2"));
		ck_assert_ptr_null(strstr(response.head, "X-Hop"));
		ck_assert_ptr_null(strstr(response.head, "Shallot-Outcome"));
	}
	g_free(response.head);
	teardown(&fixture);
}
END_TEST

/* Callers that disconnect at different stages of the response. */
static const struct {
	const char *name;
	const struct script_step (*scripts)[SCRIPT_STEP_COUNT_MAX];
	bool is_reset;
} disconnect_rows[] = {
	{"caller-leaves-before-headers", hanging_script, false},
	{"caller-resets-before-headers", hanging_script, true},
	{"caller-leaves-in-body", stalling_script, false},
	{"caller-leaves-large-answer", large_script, true},
};

static void disconnect(struct raw_caller *caller, bool is_reset)
{
	if (is_reset)
		socket_reset_on_close(caller->fd);
	raw_caller_close(caller);
}

/* A disconnect cancels the attempt and closes its connection to the target. */
START_TEST(test_caller_disconnects)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: s\r\n\r\n";
	struct fixture fixture;

	test_row("exchange", disconnect_rows[_i].name);
	setup(&fixture, disconnect_rows[_i].scripts);
	raw_caller_open(&fixture.caller, &fixture.service_endpoint);
	raw_caller_send(&fixture.caller, request, strlen(request));
	while (script_target_executed_count(fixture.target) == 0)
		g_usleep(POLL_INTERVAL_US);
	disconnect(&fixture.caller, disconnect_rows[_i].is_reset);
	while (script_target_connection_count(fixture.target) > 0)
		g_usleep(POLL_INTERVAL_US);
	/* teardown closes fixture.caller, which disconnect has closed. */
	raw_caller_open(&fixture.caller, &fixture.service_endpoint);
	teardown(&fixture);
}
END_TEST

/*
 * While a caller reads nothing, the node pauses the target; after
 * stall_timeout_ms it resets the caller's connection.
 */
START_TEST(test_slow_reader)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: s\r\n\r\n";
	struct raw_response response;
	struct fixture fixture;

	test_row("exchange", "slow-reader");
	setup(&fixture, large_script);
	raw_caller_open(&fixture.caller, &fixture.service_endpoint);
	raw_caller_send(&fixture.caller, request, strlen(request));
	while (script_target_executed_count(fixture.target) == 0)
		g_usleep(POLL_INTERVAL_US);
	while (script_target_connection_count(fixture.target) > 0)
		g_usleep(POLL_INTERVAL_US);
	ck_assert_uint_lt(script_target_sent_bytes(fixture.target),
			  BUFFERED_BYTES_MAX);
	raw_caller_read(&fixture.caller, true, &response);
	ck_assert_str_eq(raw_response_outcome(&response), "broken");
	g_free(response.head);
	teardown(&fixture);
}
END_TEST

/* A caller that keeps reading receives a large response completely. */
START_TEST(test_large_response)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: s\r\n\r\n";
	struct raw_response response;
	struct fixture fixture;

	test_row("exchange", "large-answer");
	setup(&fixture, large_script);
	raw_caller_open(&fixture.caller, &fixture.service_endpoint);
	raw_caller_send(&fixture.caller, request, strlen(request));
	raw_caller_read(&fixture.caller, true, &response);
	ck_assert_str_eq(raw_response_outcome(&response), "whole");
	ck_assert_uint_eq(response.body_bytes, LARGE_BODY_BYTES);
	g_free(response.head);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("exchange");
	TCase *tcase = tcase_create("exchange");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_headers, 0, G_N_ELEMENTS(header_rows));
	tcase_add_loop_test(tcase, test_caller_disconnects, 0,
			    G_N_ELEMENTS(disconnect_rows));
	tcase_add_test(tcase, test_slow_reader);
	tcase_add_test(tcase, test_large_response);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
