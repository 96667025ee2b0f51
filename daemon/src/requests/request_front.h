#ifndef REQUEST_FRONT_H
#define REQUEST_FRONT_H

#include <core/request_director.h>
#include <daemon/log_settings_message.h>
#include <daemon/settings.h>
#include <task/counter_set.h>
#include <task/task.h>

/*
 * Callers' requests on one side, targets' answers on the other, and the
 * request director in between. Belongs to the request task.
 */
struct request_front;

struct request_front_options {
	struct task *task;
	const struct settings *settings;
	struct task *claims;
	void *context;
	/* Draining is over: nothing is open any more. */
	void (*drained)(void *context);
};

struct request_front *
request_front_new(const struct request_front_options *options, GError **error);
void request_front_free(struct request_front *front);
void request_front_set_rules(struct request_front *front,
			     struct rule_set *rules);
void request_front_set_target_state(struct request_front *front,
				    uint64_t target_id,
				    enum target_state state);
void request_front_set_node_count(struct request_front *front,
				  uint32_t node_count);
void request_front_claimed(struct request_front *front, uint64_t request_id,
			   enum claim_result result);
void request_front_set_log(struct request_front *front,
			   const struct log_settings_message *settings);
void request_front_drain(struct request_front *front);
const struct counter_set *request_front_counters(struct request_front *front);

#endif
