#ifndef CONFIG_TASK_STATE_H
#define CONFIG_TASK_STATE_H

#include <daemon/config_task.h>

#include "config_counters.h"
#include "config_platform.h"
#include "config_publisher.h"
#include "requests/target_watch.h"

#include <core/rules_gossip.h>
#include <task/log.h>
#include <task/timer.h>

/* State shared by config_task.c and config_callbacks.c. */
struct config_task {
	struct config_task_options options;
	const struct settings *settings;
	struct task *task;
	struct log *log;
	struct counter_set *counters;
	struct timer *tick_timer;
	struct timer *target_timer;
	struct config_platform *platform;
	struct node_view *nodes;
	struct target_watch *target_watch;
	struct rules_gossip *gossip;
	struct config_publisher *publisher;
	int64_t start_ms;
};

/* config_callbacks.c: callbacks of the task's components. */
void config_on_rules_changed(void *context, const struct rule_set *rules);
void config_on_send(void *context, uint64_t node_id,
		    struct config_message *message);
void config_on_read_store(void *context);
void config_on_watch_store(void *context, bool is_wanted);
void config_on_repair_store(void *context);
void config_on_report_zone(void *context);
void config_on_document(void *context, const struct rules_document *document);
void config_on_store_failed(void *context, const char *reason);
void config_on_targets(void *context, const GArray *list, const GError *error);
bool config_on_target_state(void *context, uint64_t target_id,
			    enum target_state state);
void config_on_roster_changed(void *context, const struct roster *roster);
void config_on_stored_roster(void *context, const struct roster *roster);

#endif
