#ifndef CONFIG_PUBLISHER_H
#define CONFIG_PUBLISHER_H

#include <core/roster.h>
#include <core/rule_set.h>
#include <daemon/config_task.h>

/*
 * Posts rules, target states and the roster to the other tasks.
 * config_publisher_retry posts again the rules and the roster that a full
 * mailbox refused. The node is reported ready only after all forwarding tasks
 * have the rules.
 */
struct config_publisher;

/* The options must outlive the publisher. */
struct config_publisher *
config_publisher_new(const struct config_task_options *options);
void config_publisher_free(struct config_publisher *publisher);
void config_publisher_set_rules(struct config_publisher *publisher,
				const struct rule_set *rules);
void config_publisher_retry(struct config_publisher *publisher,
			    bool is_config_known);
bool config_publisher_post_target_state(struct config_publisher *publisher,
					uint64_t target_id,
					enum target_state state);
void config_publisher_set_roster(struct config_publisher *publisher,
				 const struct roster *roster);
bool config_publisher_post_control(struct config_publisher *publisher,
				   uint64_t node_id, uint32_t procedure,
				   const GByteArray *bytes);

#endif
