#ifndef DAEMON_CONFIG_TASK_H
#define DAEMON_CONFIG_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/*
 * Owns a client of the key-value store, replicates the configuration and
 * publishes the rules in force, the states of targets and the roster to other
 * tasks.
 */
struct config_task;

/*
 * Tasks that this task posts to; all must outlive it.
 * - forwarding_tasks forward packets and requests; they receive rules_message
 *   and target_state_message.
 * - admin receives ready_message once the rules are known.
 * - control sends messages to other nodes; NULL for a node without peers.
 * - claims receives roster_message; NULL if no roster is needed.
 */
struct config_task_options {
	const struct settings *settings;
	uint64_t node_id;
	struct task *const *forwarding_tasks;
	uint32_t forwarding_task_count;
	struct task *admin;
	struct task *control;
	struct task *claims;
};

struct config_task *config_task_new(const struct config_task_options *options,
				    GError **error);
void config_task_free(struct config_task *config);
struct task *config_task_task(struct config_task *config);

#endif
