#ifndef REQUEST_FRONTEND_H
#define REQUEST_FRONTEND_H

#include <core/request_director.h>
#include <daemon/log_settings_message.h>
#include <daemon/settings.h>
#include <task/counter_set.h>
#include <task/task.h>

/*
 * The HTTP frontend: accepts requests from callers and forwards them to targets
 * as the request director decides. Runs in the request task.
 */
struct request_frontend;

struct request_frontend_options {
	struct task *task;
	const struct settings *settings;
	/* Claims idempotency keys; may be NULL. */
	struct task *claims;
	void *context;
	/* Called when no request or connection is open after a drain. */
	void (*on_drained)(void *context);
};

struct request_frontend *
request_frontend_new(const struct request_frontend_options *options,
		     GError **error);
void request_frontend_free(struct request_frontend *frontend);
void request_frontend_set_rules(struct request_frontend *frontend,
				struct rule_set *rules);
void request_frontend_set_target_state(struct request_frontend *frontend,
				       uint64_t target_id,
				       enum target_state state);
void request_frontend_set_node_count(struct request_frontend *frontend,
				     uint32_t node_count);
void request_frontend_set_claim_result(struct request_frontend *frontend,
				       uint64_t request_id,
				       enum claim_result result);
void request_frontend_set_log(struct request_frontend *frontend,
			      const struct log_settings_message *settings);
void request_frontend_drain(struct request_frontend *frontend);
const struct counter_set *
request_frontend_counters(struct request_frontend *frontend);

#endif
