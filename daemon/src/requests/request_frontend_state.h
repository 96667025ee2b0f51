#ifndef REQUEST_FRONTEND_STATE_H
#define REQUEST_FRONTEND_STATE_H

#include "caller_listener.h"
#include "request_counters.h"
#include "request_entry.h"
#include "request_frontend.h"

#include <core/request_director.h>
#include <task/log.h>
#include <task/timer.h>

/* State shared by the source files of the HTTP frontend; not thread-safe. */
struct request_frontend {
	struct request_frontend_options options;
	struct request_director *director;
	struct rule_set *rules;
	struct connection_pool *pool;
	struct counter_set *counters;
	struct log *log;
	struct buffer_budget budget;
	uint32_t connection_count;
	uint32_t connection_limit;
	uint64_t next_request_id;
	/* Maps each request_id to its struct request_entry. */
	GHashTable *entries;
	/* Maps each attempt_id to its struct target_attempt. */
	GHashTable *attempts;
	GPtrArray *listeners;
	/* Ticks the director, at most once per iteration of the event loop. */
	struct event *tick_event;
	struct timer *tick_timer;
	struct timer *drain_timer;
	bool is_draining;
	bool is_stopping;
};

void request_callbacks_fill(struct request_callbacks *callbacks,
			    struct request_frontend *frontend);
void request_frontend_handle_request(void *context, uint32_t service_id,
				     struct caller_connection *connection,
				     struct evhttp_request *request);
void request_frontend_schedule_tick(struct request_frontend *frontend);
struct request_entry *request_frontend_entry(struct request_frontend *frontend,
					     uint64_t request_id);

#endif
