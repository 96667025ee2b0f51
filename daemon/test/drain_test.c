/* Tests the effect of a drain on requests in progress and on connections. */
#include "node_fixture.h"
#include "raw_caller.h"

#include <fakes/script_target.h>
#include <fakes/test_main.h>
#include <pthread.h>

#define GET "GET /x HTTP/1.1\r\nHost: s\r\n\r\n"
#define POST "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n\r\n"
#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
#define DOWNLOAD_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n"
#define DOWNLOAD_BYTES 33554432
#define POLL_INTERVAL_US 1000

/*
 * The request in progress when the drain starts, the outcome that its caller
 * gets, and whether the node reports a complete drain. With
 * has_response_before_drain the request has ended and its connection is idle.
 */
static const struct row {
	const char *name;
	const char *request;
	struct script_step script[SCRIPT_STEP_COUNT_MAX];
	const char *outcome;
	bool has_response_before_drain;
	bool is_drained;
} rows[] = {
	{"nothing-open", NULL, {{SCRIPT_HANG, NULL, 0}}, NULL, false, true},
	{"before-headers",
	 GET,
	 {{SCRIPT_COUNT_EXECUTION, NULL, 0},
	  {SCRIPT_WAIT, NULL, 300},
	  {SCRIPT_SEND, OK_HEAD "hello", 0}},
	 "whole",
	 false,
	 true},
	{"in-body",
	 GET,
	 {{SCRIPT_COUNT_EXECUTION, NULL, 0},
	  {SCRIPT_SEND, OK_HEAD "he", 0},
	  {SCRIPT_WAIT, NULL, 300},
	  {SCRIPT_SEND, "llo", 0}},
	 "whole",
	 false,
	 true},
	{"long-download",
	 GET,
	 {{SCRIPT_COUNT_EXECUTION, NULL, 0},
	  {SCRIPT_SEND, DOWNLOAD_HEAD, 0},
	  {SCRIPT_SEND_BYTES, NULL, DOWNLOAD_BYTES}},
	 "whole",
	 false,
	 true},
	{"kept-alive-idle",
	 GET,
	 {{SCRIPT_COUNT_EXECUTION, NULL, 0}, {SCRIPT_SEND, OK_HEAD "hello", 0}},
	 "whole",
	 true,
	 true},
	{"half-request",
	 "GET /x HTTP/1.1\r\n",
	 {{SCRIPT_HANG, NULL, 0}},
	 "broken",
	 false,
	 true},
	{"never-ends",
	 GET,
	 {{SCRIPT_COUNT_EXECUTION, NULL, 0},
	  {SCRIPT_SEND, OK_HEAD "he", 0},
	  {SCRIPT_HANG, NULL, 0}},
	 "broken",
	 false,
	 false},
	{"never-ends-old-caller",
	 "GET /x HTTP/1.0\r\nHost: s\r\n\r\n",
	 {{SCRIPT_COUNT_EXECUTION, NULL, 0},
	  {SCRIPT_SEND,
	   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	   "2\r\nhe\r\n",
	   0},
	  {SCRIPT_HANG, NULL, 0}},
	 "broken",
	 false,
	 false},
};

/* The result of the drain, set by a thread of the node. */
struct drain_result {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool is_done;
	bool is_drained;
};

struct fixture {
	struct script_target *target;
	struct node_fixture node;
	struct raw_caller caller;
	struct drain_result drain_result;
};

static void on_drained(void *context, bool is_drained)
{
	struct drain_result *drain_result = context;

	pthread_mutex_lock(&drain_result->lock);
	drain_result->is_done = true;
	drain_result->is_drained = is_drained;
	pthread_cond_signal(&drain_result->cond);
	pthread_mutex_unlock(&drain_result->lock);
}

static void wait_for_done(struct drain_result *drain_result)
{
	pthread_mutex_lock(&drain_result->lock);
	while (!drain_result->is_done)
		pthread_cond_wait(&drain_result->cond, &drain_result->lock);
	pthread_mutex_unlock(&drain_result->lock);
}

static void start_drain(struct fixture *fixture)
{
	struct shallotd_drain_options options = {
		.context = &fixture->drain_result,
		.on_done = on_drained,
	};
	GError *error = NULL;

	pthread_mutex_init(&fixture->drain_result.lock, NULL);
	pthread_cond_init(&fixture->drain_result.cond, NULL);
	ck_assert(shallotd_drain(fixture->node.daemon, &options, &error));
}

static void setup(struct fixture *fixture, const struct row *row)
{
	struct script_target_options options = {
		.scripts = &row->script,
		.script_count = 1,
	};
	char text[ENDPOINT_TEXT_BYTES];
	struct endpoint endpoint;
	GError *error = NULL;
	char *rules;

	memset(fixture, 0, sizeof(*fixture));
	fixture->target = script_target_new(&options, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	endpoint = script_target_endpoint(fixture->target);
	rules = g_strdup_printf("s address=10.0.0.1:80 pool=%s protocol=http "
				"# asked by Lin Yu-ting\n",
				endpoint_format(&endpoint, text));
	node_fixture_start(&fixture->node, rules,
			   "log: {level: error}\n"
			   "requests: {read_timeout_ms: 2000}\n"
			   "drain: {timeout_ms: 5000}\n");
	g_free(rules);
}

static void teardown(struct fixture *fixture)
{
	node_fixture_stop(&fixture->node);
	script_target_free(fixture->target);
}

/* Waits until the target gets the request, if the row sends a complete one. */
static void wait_for_target(struct fixture *fixture, const struct row *row)
{
	if (row->script[0].action == SCRIPT_HANG)
		return;
	while (script_target_executed_count(fixture->target) == 0)
		g_usleep(POLL_INTERVAL_US);
}

static void check_response(struct fixture *fixture, const struct row *row)
{
	struct raw_response response;

	raw_caller_read(&fixture->caller, true, &response);
	ck_assert_str_eq(raw_response_outcome(&response), row->outcome);
	g_free(response.head);
}

/* Waits until connections to the address are refused. */
static void wait_for_refusal(const struct endpoint *endpoint)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, endpoint);
	bool is_refused = false;

	while (!is_refused) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		is_refused = connect(fd, (struct sockaddr *)&storage, length);
		close(fd);
		g_usleep(POLL_INTERVAL_US);
	}
}

START_TEST(test_drain)
{
	const struct row *row = &rows[_i];
	struct fixture fixture;

	test_row("drain", row->name);
	setup(&fixture, row);
	if (row->request) {
		raw_caller_open(&fixture.caller,
				&fixture.node.settings->listen_requests);
		raw_caller_send(&fixture.caller, row->request,
				strlen(row->request));
		wait_for_target(&fixture, row);
		if (row->has_response_before_drain)
			check_response(&fixture, row);
	}
	start_drain(&fixture);
	if (row->request && row->is_drained && !row->has_response_before_drain)
		check_response(&fixture, row);
	wait_for_done(&fixture.drain_result);
	ck_assert(fixture.drain_result.is_drained == row->is_drained);
	wait_for_refusal(&fixture.node.settings->listen_requests);
	if (row->is_drained && row->request)
		ck_assert(!raw_caller_receive(&fixture.caller));
	teardown(&fixture);
	if (!row->is_drained)
		check_response(&fixture, row);
	if (row->request)
		raw_caller_close(&fixture.caller);
}
END_TEST

/* Waits until /readyz on the admin address returns 503. */
static void wait_for_not_ready(const struct fixture *fixture)
{
	static const char request[] =
		"GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
	struct raw_response response = {.status = 0};

	while (response.status != 503) {
		struct raw_caller caller;

		raw_caller_open(&caller, &fixture->node.settings->listen_admin);
		raw_caller_send(&caller, request, strlen(request));
		raw_caller_read(&caller, true, &response);
		g_free(response.head);
		raw_caller_close(&caller);
	}
}

/*
 * A request that a caller completes during the drain, on a connection opened
 * before it, is rejected with the outcome "not-run".
 */
START_TEST(test_request_in_drain)
{
	const struct row *row = &rows[1];
	struct raw_caller late_caller;
	struct raw_response response;
	struct fixture fixture;

	test_row("drain", "request-on-kept-connection");
	setup(&fixture, row);
	raw_caller_open(&fixture.caller,
			&fixture.node.settings->listen_requests);
	raw_caller_open(&late_caller, &fixture.node.settings->listen_requests);
	raw_caller_send(&late_caller, POST, strlen(POST));
	raw_caller_send(&fixture.caller, GET, strlen(GET));
	wait_for_target(&fixture, row);
	start_drain(&fixture);
	wait_for_refusal(&fixture.node.settings->listen_requests);
	wait_for_not_ready(&fixture);
	raw_caller_send(&late_caller, "body", strlen("body"));
	raw_caller_read(&late_caller, true, &response);
	ck_assert_str_eq(raw_response_outcome(&response), "not-run");
	ck_assert_ptr_nonnull(strstr(response.head, "\r\nConnection: close"));
	g_free(response.head);
	check_response(&fixture, row);
	wait_for_done(&fixture.drain_result);
	ck_assert(fixture.drain_result.is_drained);
	ck_assert_uint_eq(script_target_executed_count(fixture.target), 1);
	raw_caller_close(&late_caller);
	raw_caller_close(&fixture.caller);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("drain");
	TCase *tcase = tcase_create("drain");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_drain, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tcase, test_request_in_drain);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
