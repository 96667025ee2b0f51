#ifndef CONFIG_PUBLISHER_H
#define CONFIG_PUBLISHER_H

#include <core/roster.h>
#include <core/rule_set.h>
#include <daemon/config_task.h>

/*
 * Gives rules, states of targets and the roster to the other tasks. A task
 * whose mailbox is full gets the rules at a later try, and none is told that
 * the node is ready before all have the rules.
 */
struct config_publisher;

/* The options must outlive it. */
struct config_publisher *
config_publisher_new(const struct config_task_options *options);
void config_publisher_free(struct config_publisher *publisher);
void config_publisher_set_rules(struct config_publisher *publisher,
				const struct rule_set *rules);
void config_publisher_retry(struct config_publisher *publisher, bool is_known);
bool config_publisher_target(struct config_publisher *publisher,
			     uint64_t target_id, enum target_state state);
void config_publisher_roster(struct config_publisher *publisher,
			     const struct roster *roster);
bool config_publisher_control(struct config_publisher *publisher,
			      uint64_t node_id, uint32_t procedure,
			      const GByteArray *bytes);

#endif
