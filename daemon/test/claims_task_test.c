/* Tests the claims tasks of three nodes, connected by fake control tasks. */
#include <daemon/claim_reply_message.h>
#include <daemon/claim_request_message.h>
#include <daemon/claims_task.h>
#include <daemon/control_message.h>
#include <daemon/roster_message.h>
#include <fakes/fake_inbox.h>
#include <fakes/test_main.h>

#define NODE_COUNT 3

struct fleet;

/* A fake control task, which delivers a message to the node it is sent to. */
struct fake_control {
	struct fleet *fleet;
	uint64_t node_id;
	struct task *task;
};

struct fleet {
	struct settings settings;
	struct fake_control fake_controls[NODE_COUNT];
	struct claims_task *claims[NODE_COUNT];
	struct fake_inbox *replies;
};

static void deliver(void *context, struct message *message)
{
	struct fake_control *fake_control = context;
	struct control_message *out = (struct control_message *)message;
	struct message *in;

	if (message->type == &control_out_type) {
		in = control_message_new(&control_in_type,
					 fake_control->node_id, out->procedure,
					 out->bytes, out->length_bytes);
		if (task_post(claims_task_task(
				      fake_control->fleet
					      ->claims[out->node_id - 1]),
			      in) != POST_ACCEPTED)
			message_free(in);
	}
	message_free(message);
}

static struct task *start_task(const char *name, void *context,
			       void (*handle)(void *, struct message *))
{
	struct task_options options = {
		.name = name,
		.mailbox_capacity = 1024,
		.context = context,
		.handle = handle,
	};
	struct task *task = task_new(&options, NULL);

	ck_assert(task_start(task, NULL));
	return task;
}

static void post(struct task *task, struct message *message)
{
	ck_assert_int_eq(task_post(task, message), POST_ACCEPTED);
}

static void setup(struct fleet *fleet)
{
	*fleet = (struct fleet){.settings = {.log_level = 3}};
	fleet->replies = fake_inbox_new();
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		struct fake_control *fake_control = &fleet->fake_controls[i];
		struct claims_task_options options = {
			.settings = &fleet->settings,
			.node_id = i + 1,
		};

		fake_control->fleet = fleet;
		fake_control->node_id = i + 1;
		fake_control->task =
			start_task("control", fake_control, deliver);
		options.control = fake_control->task;
		fleet->claims[i] = claims_task_new(&options, NULL);
	}
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		ck_assert(task_start(claims_task_task(fleet->claims[i]), NULL));
}

static void teardown(struct fleet *fleet)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		task_stop(claims_task_task(fleet->claims[i]));
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		task_free(fleet->fake_controls[i].task);
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		claims_task_free(fleet->claims[i]);
	fake_inbox_free(fleet->replies);
}

static void post_request(struct fleet *fleet, uint32_t node,
			 enum claim_action action, uint64_t request_id,
			 uint64_t key)
{
	struct request_info info = {
		.request_id = request_id,
		.idempotency_key_hash = {key, key},
	};

	post(claims_task_task(fleet->claims[node]),
	     claim_request_message_new(action, &info,
				       fake_inbox_task(fleet->replies)));
}

/* The reply that a test waits for, and its result. */
struct expected_reply {
	uint64_t request_id;
	enum claim_result result;
};

static bool is_reply(void *context, const struct message *message)
{
	struct expected_reply *expected = context;
	const struct claim_reply_message *reply =
		(const struct claim_reply_message *)message;

	if (message->type != &claim_reply_message_type ||
	    reply->request_id != expected->request_id)
		return false;
	expected->result = reply->result;
	return true;
}

static enum claim_result wait_for_reply(struct fleet *fleet,
					uint64_t request_id)
{
	struct expected_reply expected = {.request_id = request_id};

	ck_assert(fake_inbox_wait(fleet->replies, &expected, is_reply));
	return expected.result;
}

static void publish_roster(struct fleet *fleet, uint32_t roster_node_count)
{
	struct roster_member members[NODE_COUNT];
	struct roster roster;

	for (uint32_t i = 0; i < NODE_COUNT; i++)
		members[i] = (struct roster_member){i + 1, i + 1};
	ck_assert(roster_next(&roster, NULL, members, NODE_COUNT));
	for (uint32_t i = 0; i < roster_node_count; i++)
		post(claims_task_task(fleet->claims[i]),
		     roster_message_new(&roster));
}

/*
 * Two nodes claim the same key, one after the other. The flags say what happens
 * in between. roster_node_count is the number of nodes to which the test posts
 * the roster.
 */
static const struct {
	const char *name;
	uint32_t roster_node_count;
	bool is_released;
	bool is_settled;
	bool is_malformed_posted;
	enum claim_result first_result;
	enum claim_result second_result;
} rows[] = {
	{"twice", 3, false, false, false, CLAIM_GRANTED, CLAIM_TAKEN},
	{"settled", 3, false, true, false, CLAIM_GRANTED, CLAIM_TAKEN},
	{"released", 3, true, false, false, CLAIM_GRANTED, CLAIM_GRANTED},
	{"roster passed on by a peer", 1, false, false, false, CLAIM_GRANTED,
	 CLAIM_TAKEN},
	{"no roster", 0, false, false, false, CLAIM_UNKNOWN, CLAIM_UNKNOWN},
	{"garbled message", 3, false, false, true, CLAIM_GRANTED, CLAIM_TAKEN},
};

START_TEST(test_two_nodes)
{
	static const uint8_t malformed[] = {0xff, 0, 1};
	struct fleet fleet;

	test_row("claims_task", rows[_i].name);
	setup(&fleet);
	publish_roster(&fleet, rows[_i].roster_node_count);
	post_request(&fleet, 0, CLAIM_ACTION_CLAIM, 1, 7);
	ck_assert_int_eq(wait_for_reply(&fleet, 1), rows[_i].first_result);
	if (rows[_i].is_settled)
		post_request(&fleet, 0, CLAIM_ACTION_SETTLE, 1, 7);
	if (rows[_i].is_malformed_posted)
		post(claims_task_task(fleet.claims[1]),
		     control_message_new(&control_in_type, 1, 33, malformed,
					 sizeof(malformed)));
	if (rows[_i].is_released) {
		post_request(&fleet, 0, CLAIM_ACTION_RELEASE, 1, 7);
		/* The reply for another key shows that the release was sent. */
		post_request(&fleet, 0, CLAIM_ACTION_CLAIM, 2, 8);
		ck_assert_int_eq(wait_for_reply(&fleet, 2), CLAIM_GRANTED);
	}
	post_request(&fleet, 1, CLAIM_ACTION_CLAIM, 3, 7);
	ck_assert_int_eq(wait_for_reply(&fleet, 3), rows[_i].second_result);
	teardown(&fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claims_task");
	TCase *tcase = tcase_create("claims_task");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_two_nodes, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
