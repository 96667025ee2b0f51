/* Tests malformed, oversized, slow and excessive input from callers. */
#include "node_fixture.h"
#include "raw_caller.h"

#include <fakes/script_target.h>
#include <fakes/test_main.h>

#define NO_STATUS 0
#define LIMIT_SETTINGS                                                         \
	"log: {level: error}\n"                                                \
	"requests: {header_bytes: 2048, body_bytes: 4096, "                    \
	"buffered_bytes: 65536, connection_limit: 20, idle_timeout_ms: 400, "  \
	"read_timeout_ms: 400, stall_timeout_ms: 400}\n"

#define VALID_REQUEST "GET /x HTTP/1.1\r\nHost: s\r\n\r\n"
#define HEAD_OF(method) method " /x HTTP/1.1\r\nHost: s\r\n"

static const struct script_step scripts[][SCRIPT_STEP_COUNT_MAX] = {
	{{SCRIPT_COUNT_EXECUTION, NULL, 0},
	 {SCRIPT_SEND, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 0}},
};

/*
 * The caller sends text, filler_bytes of filler and tail. status is that of the
 * response, and run_count is how often the request ran at the target.
 */
static const struct row {
	const char *name;
	const char *text;
	uint64_t filler_bytes;
	const char *tail;
	int64_t status;
	uint64_t run_count;
} rows[] = {
	{"good", VALID_REQUEST, 0, "", 200, 1},
	{"garbage", "\x01\x02\x03 garbage\r\n\r\n", 0, "", 400, 0},
	{"no-version", "GET /x\r\n\r\n", 0, "", 400, 0},
	{"unknown-method", "BREW /x HTTP/1.1\r\nHost: s\r\n\r\n", 0, "", 501,
	 0},
	{"unknown-service", "GET /x HTTP/1.1\r\nHost: other\r\n\r\n", 0, "",
	 421, 0},
	{"no-host", "GET /x HTTP/1.1\r\n\r\n", 0, "", 421, 0},
	{"packet-service", "GET /x HTTP/1.1\r\nHost: t\r\n\r\n", 0, "", 421, 0},
	{"host-with-port", "GET /x HTTP/1.1\r\nHost: s:80\r\n\r\n", 0, "", 200,
	 1},
	{"space-in-path", "GET /x y HTTP/1.1\r\nHost: s\r\n\r\n", 0, "", 400,
	 0},
	{"tab-in-path", "GET /x\ty HTTP/1.1\r\nHost: s\r\n\r\n", 0, "", 400, 0},
	{"nul-in-path", "GET /x%00y HTTP/1.1\r\nHost: s\r\n\r\n", 0, "", 200,
	 1},
	{"absolute-form", "GET http://s/x HTTP/1.1\r\nHost: s\r\n\r\n", 0, "",
	 200, 1},
	{"continued-header", HEAD_OF("GET") "A: b\r\n c\r\n\r\n", 0, "", 200,
	 1},
	{"bad-header-name", HEAD_OF("GET") "a b: c\r\n\r\n", 0, "", 400, 0},
	{"no-colon", HEAD_OF("GET") "nonsense\r\n\r\n", 0, "", 400, 0},
	{"large-header", HEAD_OF("GET") "A: ", 8192, "\r\n\r\n", 400, 0},
	{"endless-line", "GET /", 8192, "", 400, 0},
	{"body", HEAD_OF("POST") "Content-Length: 1000\r\n\r\n", 1000, "", 200,
	 1},
	{"large-body", HEAD_OF("POST") "Content-Length: 9000\r\n\r\n", 9000, "",
	 413, 0},
	{"chunked-body", HEAD_OF("POST") "Transfer-Encoding: chunked\r\n\r\n",
	 0, "4\r\nbody\r\n0\r\n\r\n", 200, 1},
	{"large-chunk",
	 HEAD_OF("POST") "Transfer-Encoding: chunked\r\n\r\n2328\r\n", 9000,
	 "\r\n0\r\n\r\n", 413, 0},
	{"bad-chunk",
	 HEAD_OF("POST") "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 0, "", 413,
	 0},
	{"two-lengths",
	 HEAD_OF("POST") "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
	 0, "", 400, 0},
	{"length-and-chunks",
	 HEAD_OF("POST") "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
			 "\r\n0\r\n\r\n",
	 0, "", 400, 0},
	{"other-coding",
	 HEAD_OF("POST") "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n\r\n"
			 "body",
	 0, "", 400, 0},
	{"negative-length", HEAD_OF("POST") "Content-Length: -4\r\n\r\n", 0, "",
	 400, 0},
	{"body-of-get", HEAD_OF("GET") "Content-Length: 4\r\n\r\nbody", 0, "",
	 400, 0},
	{"bad-deadline", HEAD_OF("GET") "Shallot-Deadline-Ms: soon\r\n\r\n", 0,
	 "", 400, 0},
	{"deadline-over", HEAD_OF("GET") "Shallot-Deadline-Ms: 0\r\n\r\n", 0,
	 "", 503, 0},
	{"key-without-holders",
	 HEAD_OF("POST") "Idempotency-Key: 1\r\nContent-Length: 0\r\n\r\n", 0,
	 "", 504, 0},
	{"slow-header", "GET /x HTTP/1.1\r\nHo", 0, "", NO_STATUS, 0},
	{"slow-body", HEAD_OF("POST") "Content-Length: 4\r\n\r\nbo", 0, "",
	 NO_STATUS, 0},
	{"silent", "", 0, "", NO_STATUS, 0},
};

struct fixture {
	struct script_target *target;
	struct node_fixture node;
};

static void setup(struct fixture *fixture, const char *more_settings)
{
	struct script_target_options options = {
		.scripts = scripts,
		.script_count = 1,
	};
	char text[ENDPOINT_TEXT_BYTES];
	struct endpoint endpoint;
	GError *error = NULL;
	char *rules;

	fixture->target = script_target_new(&options, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	endpoint = script_target_endpoint(fixture->target);
	endpoint_format(&endpoint, text);
	rules = g_strdup_printf(
		"s address=10.0.0.1:80 pool=%s protocol=http # asked by Lin\n"
		"t address=10.0.0.2:80 pool=%s protocol=tcp # asked by Lin\n",
		text, text);
	node_fixture_start(&fixture->node, rules, more_settings);
	g_free(rules);
}

static void teardown(struct fixture *fixture)
{
	node_fixture_stop(&fixture->node);
	script_target_free(fixture->target);
}

static const struct endpoint *node_endpoint(const struct fixture *fixture)
{
	return &fixture->node.settings->listen_requests;
}

static int perform_request(struct raw_caller *caller, const char *text)
{
	struct raw_response response;

	raw_caller_send(caller, text, strlen(text));
	raw_caller_read(caller, true, &response);
	g_free(response.head);
	return response.status;
}

/* Checks on a new connection that the node still serves requests. */
static void check_still_serving(const struct fixture *fixture)
{
	struct raw_caller caller;

	raw_caller_open(&caller, node_endpoint(fixture));
	ck_assert_int_eq(perform_request(&caller, VALID_REQUEST), 200);
	raw_caller_close(&caller);
}

START_TEST(test_input)
{
	const struct row *row = &rows[_i];
	char *filler = g_strnfill(row->filler_bytes, 'a');
	char *text = g_strconcat(row->text, filler, row->tail, NULL);
	struct raw_caller caller;
	struct fixture fixture;

	test_row("caller_input", row->name);
	setup(&fixture, LIMIT_SETTINGS);
	raw_caller_open(&caller, node_endpoint(&fixture));
	ck_assert_int_eq(perform_request(&caller, text), row->status);
	ck_assert_uint_eq(script_target_executed_count(fixture.target),
			  row->run_count);
	raw_caller_close(&caller);
	check_still_serving(&fixture);
	teardown(&fixture);
	g_free(filler);
	g_free(text);
}
END_TEST

/* Two pipelined requests in one segment get their responses in order. */
START_TEST(test_pipeline)
{
	struct raw_caller caller;
	struct raw_response response;
	struct fixture fixture;

	test_row("caller_input", "pipeline");
	setup(&fixture, LIMIT_SETTINGS);
	raw_caller_open(&caller, node_endpoint(&fixture));
	raw_caller_send(&caller, VALID_REQUEST VALID_REQUEST,
			strlen(VALID_REQUEST VALID_REQUEST));
	for (int i = 0; i < 2; i++) {
		raw_caller_read(&caller, true, &response);
		ck_assert_int_eq(response.status, 200);
		g_free(response.head);
	}
	raw_caller_close(&caller);
	teardown(&fixture);
}
END_TEST

#define IDLE_CALLER_COUNT 40

/*
 * Idle callers that use up connection_limit time out in turn, so that a new
 * connection is served.
 */
START_TEST(test_connection_limit)
{
	struct raw_caller idle_callers[IDLE_CALLER_COUNT];
	struct fixture fixture;

	test_row("caller_input", "connection-limit");
	setup(&fixture, LIMIT_SETTINGS);
	for (int i = 0; i < IDLE_CALLER_COUNT; i++)
		raw_caller_open(&idle_callers[i], node_endpoint(&fixture));
	check_still_serving(&fixture);
	for (int i = 0; i < IDLE_CALLER_COUNT; i++)
		raw_caller_close(&idle_callers[i]);
	teardown(&fixture);
}
END_TEST

#define PARTIAL_CALLER_COUNT 18
#define PARTIAL_BODY_BYTES 4000

/* Connections are closed if their incomplete bodies exceed buffered_bytes. */
START_TEST(test_buffered_bytes)
{
	struct raw_caller partial_callers[PARTIAL_CALLER_COUNT];
	char *body = g_strnfill(PARTIAL_BODY_BYTES, 'a');
	struct fixture fixture;
	int closed_count = 0;

	test_row("caller_input", "buffered-bytes");
	setup(&fixture, LIMIT_SETTINGS);
	for (int i = 0; i < PARTIAL_CALLER_COUNT; i++) {
		raw_caller_open(&partial_callers[i], node_endpoint(&fixture));
		raw_caller_send(&partial_callers[i], HEAD_OF("POST"),
				strlen(HEAD_OF("POST")));
		raw_caller_send(&partial_callers[i],
				"Content-Length: 4096\r\n\r\n",
				strlen("Content-Length: 4096\r\n\r\n"));
		raw_caller_send(&partial_callers[i], body, PARTIAL_BODY_BYTES);
	}
	for (int i = 0; i < PARTIAL_CALLER_COUNT; i++) {
		if (!raw_caller_receive(&partial_callers[i]))
			closed_count++;
		raw_caller_close(&partial_callers[i]);
	}
	ck_assert_int_eq(closed_count, PARTIAL_CALLER_COUNT);
	ck_assert_uint_eq(script_target_executed_count(fixture.target), 0);
	check_still_serving(&fixture);
	teardown(&fixture);
	g_free(body);
}
END_TEST

#define MUTATION_SEED 20261204
#define MUTATION_COUNT 400
/* Exclusive, as g_rand_int_range expects. */
#define MUTATIONS_PER_REQUEST_LIMIT 6

static const char mutation_template[] =
	"POST /blocks/7?x=1 HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n"
	"Shallot-Deadline-Ms: 900\r\nConnection: close\r\n\r\nbody";

/* Changes, removes or duplicates randomly chosen bytes of mutation_template. */
static GString *mutate(GRand *rand)
{
	GString *text = g_string_new(mutation_template);
	int change_count =
		g_rand_int_range(rand, 1, MUTATIONS_PER_REQUEST_LIMIT);

	for (int i = 0; i < change_count; i++) {
		gssize at = g_rand_int_range(rand, 0, (gint32)text->len);

		switch (g_rand_int_range(rand, 0, 3)) {
		case 0:
			text->str[at] = (char)g_rand_int_range(rand, 0, 256);
			break;
		case 1:
			g_string_erase(text, at, 1);
			break;
		default:
			g_string_insert_c(text, at, text->str[at]);
			break;
		}
	}
	return text;
}

/*
 * The node responds to each mutated request or closes its connection, and keeps
 * serving.
 */
START_TEST(test_mutations)
{
	GRand *rand = g_rand_new_with_seed(MUTATION_SEED);
	struct fixture fixture;
	struct raw_caller caller;
	struct raw_response response;

	test_row("caller_input", "mutations");
	setup(&fixture,
	      "log: {level: error}\n"
	      "requests: {idle_timeout_ms: 20, read_timeout_ms: 20}\n");
	for (int i = 0; i < MUTATION_COUNT; i++) {
		GString *text = mutate(rand);

		raw_caller_open(&caller, node_endpoint(&fixture));
		raw_caller_send(&caller, text->str, text->len);
		raw_caller_read(&caller, false, &response);
		ck_assert(response.status == 0 ||
			  (response.status >= 200 && response.status < 600));
		g_free(response.head);
		raw_caller_close(&caller);
		g_string_free(text, TRUE);
	}
	check_still_serving(&fixture);
	teardown(&fixture);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("caller_input");
	TCase *tcase = tcase_create("caller_input");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_input, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tcase, test_pipeline);
	tcase_add_test(tcase, test_connection_limit);
	tcase_add_test(tcase, test_buffered_bytes);
	tcase_add_test(tcase, test_mutations);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
