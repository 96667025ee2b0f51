#include "config_publisher.h"

#include <daemon/control_message.h>
#include <daemon/ready_message.h>
#include <daemon/roster_message.h>
#include <daemon/rules_message.h>
#include <daemon/target_state_message.h>

/* due_mask has a bit for each work task that lacks the newest rules. */
struct config_publisher {
	const struct config_task_options *options;
	struct rule_set *rules;
	uint64_t due_mask;
	bool is_ready_told;
	bool is_roster_due;
	struct roster roster;
};

/* Makes a publisher that has published nothing. */
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
	if (task_post(task, message) == POST_TAKEN)
		return true;
	message_free(message);
	return false;
}

static void publish_due(struct config_publisher *publisher)
{
	for (uint32_t i = 0; i < publisher->options->work_task_count; i++) {
		uint64_t bit = (uint64_t)1 << i;

		if ((publisher->due_mask & bit) &&
		    post_or_free(publisher->options->work_tasks[i],
				 rules_message_new(publisher->rules)))
			publisher->due_mask &= ~bit;
	}
}

static void publish_roster(struct config_publisher *publisher)
{
	if (publisher->is_roster_due)
		publisher->is_roster_due =
			!post_or_free(publisher->options->claims,
				      roster_message_new(&publisher->roster));
}

/* Publishes other rules to all work tasks. */
void config_publisher_set_rules(struct config_publisher *publisher,
				const struct rule_set *rules)
{
	rule_set_free(publisher->rules);
	publisher->rules = rule_set_copy(rules);
	publisher->due_mask =
		((uint64_t)1 << publisher->options->work_task_count) - 1;
	publish_due(publisher);
}

/* Tries again what was refused; says once that a node with rules is ready. */
void config_publisher_retry(struct config_publisher *publisher, bool is_known)
{
	publish_due(publisher);
	publish_roster(publisher);
	if (!publisher->is_ready_told && publisher->due_mask == 0 && is_known)
		publisher->is_ready_told = post_or_free(
			publisher->options->admin, ready_message_new(true));
}

/*
 * Tells the work tasks the state of a target. Returns false when one had no
 * room; telling all of them again does no harm.
 */
bool config_publisher_target(struct config_publisher *publisher,
			     uint64_t target_id, enum target_state state)
{
	bool is_told = true;

	for (uint32_t i = 0; i < publisher->options->work_task_count; i++)
		is_told = post_or_free(
				  publisher->options->work_tasks[i],
				  target_state_message_new(target_id, state)) &&
			  is_told;
	return is_told;
}

/* Gives the claims task the roster. */
void config_publisher_roster(struct config_publisher *publisher,
			     const struct roster *roster)
{
	publisher->roster = *roster;
	publisher->is_roster_due = publisher->options->claims != NULL;
	publish_roster(publisher);
}

/* Hands a message for another node to the control task. */
bool config_publisher_control(struct config_publisher *publisher,
			      uint64_t node_id, uint32_t procedure,
			      const GByteArray *bytes)
{
	return publisher->options->control &&
	       post_or_free(publisher->options->control,
			    control_message_new(&control_out_type, node_id,
						procedure, bytes->data,
						bytes->len));
}
