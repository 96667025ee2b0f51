#ifndef DAEMON_CONFIG_TASK_H
#define DAEMON_CONFIG_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/*
 * Owns the client of the store, learns the configuration
 * and gives the rules in force and the states of targets to other tasks.
 */
struct config_task;

/*
 * work_tasks get rules_message and target_state_message, admin gets
 * ready_message once the rules are known, control carries messages to other
 * nodes, claims gets roster_message. NULL control is a node without peers, NULL
 * claims one that needs no roster. All must outlive the task.
 */
struct config_task_options {
	const struct settings *settings;
	uint64_t node_id;
	struct task *const *work_tasks;
	uint32_t work_task_count;
	struct task *admin;
	struct task *control;
	struct task *claims;
};

struct config_task *config_task_new(const struct config_task_options *options,
				    GError **error);
void config_task_free(struct config_task *config);
struct task *config_task_task(struct config_task *config);

#endif
