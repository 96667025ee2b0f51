#include "config_publisher.h"

#include <daemon/control_message.h>
#include <daemon/ready_message.h>
#include <daemon/roster_message.h>
#include <daemon/rules_message.h>
#include <daemon/target_state_message.h>

/*
 * Bit i of pending_mask is set while forwarding task i lacks the newest rules.
 * is_roster_pending is set while the claims task lacks the newest roster.
 */
struct config_publisher {
	const struct config_task_options *options;
	struct rule_set *rules;
	uint64_t pending_mask;
	bool is_ready_posted;
	bool is_roster_pending;
	struct roster roster;
};

/* Creates a publisher. Free it with config_publisher_free. */
struct config_publisher *
config_publisher_new(const struct config_task_options *options)
{
	struct config_publisher *publisher = g_new0(struct config_publisher, 1);

	publisher->options = options;
	publisher->rules = rule_set_new(0);
	return publisher;
}

/* Frees the publisher; NULL is allowed. */
void config_publisher_free(struct config_publisher *publisher)
{
	if (!publisher)
		return;
	rule_set_free(publisher->rules);
	g_free(publisher);
}

static bool post_or_free(struct task *task, struct message *message)
{
	if (task_post(task, message) == POST_ACCEPTED)
		return true;
	message_free(message);
	return false;
}

static void publish_pending_rules(struct config_publisher *publisher)
{
	for (uint32_t i = 0; i < publisher->options->forwarding_task_count;
	     i++) {
		uint64_t bit = (uint64_t)1 << i;

		if ((publisher->pending_mask & bit) &&
		    post_or_free(publisher->options->forwarding_tasks[i],
				 rules_message_new(publisher->rules)))
			publisher->pending_mask &= ~bit;
	}
}

static void publish_pending_roster(struct config_publisher *publisher)
{
	if (publisher->is_roster_pending)
		publisher->is_roster_pending =
			!post_or_free(publisher->options->claims,
				      roster_message_new(&publisher->roster));
}

/* Publishes a copy of the rules to all forwarding tasks. */
void config_publisher_set_rules(struct config_publisher *publisher,
				const struct rule_set *rules)
{
	rule_set_free(publisher->rules);
	publisher->rules = rule_set_copy(rules);
	publisher->pending_mask =
		((uint64_t)1 << publisher->options->forwarding_task_count) - 1;
	publish_pending_rules(publisher);
}

/*
 * Posts again the rules and the roster that a full mailbox refused. Once the
 * configuration is known and every forwarding task has its rules, posts a
 * ready_message to the admin task.
 */
void config_publisher_retry(struct config_publisher *publisher,
			    bool is_config_known)
{
	publish_pending_rules(publisher);
	publish_pending_roster(publisher);
	if (!publisher->is_ready_posted && publisher->pending_mask == 0 &&
	    is_config_known)
		publisher->is_ready_posted = post_or_free(
			publisher->options->admin, ready_message_new(true));
}

/*
 * Posts the state of a target to the forwarding tasks. Returns false if a
 * mailbox was full; then call it again, as it is idempotent.
 */
bool config_publisher_post_target_state(struct config_publisher *publisher,
					uint64_t target_id,
					enum target_state state)
{
	bool is_posted = true;

	for (uint32_t i = 0; i < publisher->options->forwarding_task_count; i++)
		is_posted =
			post_or_free(
				publisher->options->forwarding_tasks[i],
				target_state_message_new(target_id, state)) &&
			is_posted;
	return is_posted;
}

/* Publishes a copy of the roster to the claims task. */
void config_publisher_set_roster(struct config_publisher *publisher,
				 const struct roster *roster)
{
	publisher->roster = *roster;
	publisher->is_roster_pending = publisher->options->claims != NULL;
	publish_pending_roster(publisher);
}

/*
 * Posts a message for another node to the control task. Returns whether the
 * mailbox accepted it.
 */
bool config_publisher_post_control(struct config_publisher *publisher,
				   uint64_t node_id, uint32_t procedure,
				   const GByteArray *bytes)
{
	return publisher->options->control &&
	       post_or_free(publisher->options->control,
			    control_message_new(&control_out_type, node_id,
						procedure, bytes->data,
						bytes->len));
}
