#ifndef REQUEST_FRONT_STATE_H
#define REQUEST_FRONT_STATE_H

#include "caller_listener.h"
#include "request_counters.h"
#include "request_entry.h"
#include "request_front.h"

#include <core/request_director.h>
#include <task/log.h>
#include <task/timer.h>

/* What the parts of the request front end share; all in one task. */
struct request_front {
	struct request_front_options options;
	struct request_director *director;
	struct rule_set *rules;
	struct target_pool *pool;
	struct counter_set *counters;
	struct log *log;
	struct buffer_budget budget;
	uint32_t connection_count;
	uint32_t connection_limit;
	uint64_t next_request_id;
	/* struct request_entry by request id. */
	GHashTable *entries;
	/* struct target_attempt by attempt id. */
	GHashTable *attempts;
	GPtrArray *listeners;
	/* Lets time pass for the director, once a round of the loop. */
	struct event *turn_event;
	struct timer *turn_timer;
	struct timer *drain_timer;
	bool is_draining;
	bool is_stopping;
};

void request_effects_fill(struct request_effects *effects,
			  struct request_front *front);
void request_front_arrived(void *context, uint32_t service_id,
			   struct caller_connection *connection,
			   struct evhttp_request *request);
void request_front_turn_soon(struct request_front *front);
struct request_entry *request_front_entry(struct request_front *front,
					  uint64_t request_id);

#endif
