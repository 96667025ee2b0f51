/*
 * Tests faulty targets: which outcome the caller receives, and how often the
 * request ran.
 */
#include "node_fixture.h"
#include "raw_caller.h"
#include "target_response_rows.h"

#include <fakes/test_main.h>

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

static void perform_request(struct fixture *fixture, const struct row *row,
			    struct raw_response *response)
{
	bool has_body = !g_str_has_prefix(row->request, "HEAD");

	raw_caller_send(&fixture->caller, row->request, strlen(row->request));
	raw_caller_send(&fixture->caller, row->body, strlen(row->body));
	raw_caller_read(&fixture->caller, has_body, response);
}

static void check_second_response(struct fixture *fixture,
				  const struct row *row)
{
	struct raw_response response;

	perform_request(fixture, row, &response);
	ck_assert_str_eq(raw_response_outcome(&response), row->second_outcome);
	g_free(response.head);
}

static void check_row(const struct row *row)
{
	struct fixture fixture;
	struct raw_response response;

	test_row("target_faults", row->name);
	setup(&fixture, row);
	perform_request(&fixture, row, &response);
	ck_assert_str_eq(raw_response_outcome(&response), row->outcome);
	if (response.is_complete) {
		ck_assert_int_eq(response.status, row->status);
		ck_assert_uint_eq(response.body_bytes, row->body_bytes);
	}
	g_free(response.head);
	if (row->second_outcome)
		check_second_response(&fixture, row);
	ck_assert_uint_eq(script_target_executed_count(fixture.target),
			  row->run_count);
	teardown(&fixture);
}

START_TEST(test_target_fault)
{
	check_row(&fault_rows[_i]);
}
END_TEST

START_TEST(test_target_response)
{
	check_row(&response_rows[_i]);
}
END_TEST

/*
 * The target refuses the connection. The node has sent nothing, so the request
 * did not run.
 */
START_TEST(test_refused)
{
	struct fixture fixture;
	struct raw_response response;

	test_row("target_faults", "refused");
	setup(&fixture, &fault_rows[0]);
	script_target_free(fixture.target);
	fixture.target = NULL;
	perform_request(&fixture, &fault_rows[0], &response);
	ck_assert_str_eq(raw_response_outcome(&response), "not-run");
	g_free(response.head);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("target_faults");
	TCase *tcase = tcase_create("target_faults");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_target_fault, 0,
			    sizeof(fault_rows) / sizeof(fault_rows[0]));
	tcase_add_loop_test(tcase, test_target_response, 0,
			    sizeof(response_rows) / sizeof(response_rows[0]));
	tcase_add_test(tcase, test_refused);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
