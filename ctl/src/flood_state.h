#ifndef CTL_FLOOD_STATE_H
#define CTL_FLOOD_STATE_H

#include "flood_fleet.h"
#include "flood_node.h"
#include "flood_request.h"
#include <fakes/driver.h>

/*
 * The state of one run, shared by the files of the flood benchmark. Requests
 * stay in open_requests until the caller gets a response or gives up.
 */
struct flood_fleet {
	struct flood_options options;
	struct driver *driver;
	struct flood_node nodes[FLOOD_NODES_MAX];
	struct flood_target targets[FLOOD_TARGETS_MAX];
	struct rule_set *rules;
	struct roster roster;
	GHashTable *open_requests;
	GHashTable *jobs;
	struct flood_stats stats;
	uint64_t next_id;
	uint64_t next_node_id;
	double arrival_time_left_ms[CLASS_COUNT];
};

/*
 * The requests of a class: mean processing time, deadline, and the percentage
 * of non-idempotent requests with and without an idempotency key.
 */
struct flood_class {
	uint32_t work_ms;
	int64_t deadline_ms;
	uint32_t with_key_percent;
	uint32_t without_key_percent;
};

extern const struct flood_class flood_classes[CLASS_COUNT];

void flood_fleet_start_node(struct flood_fleet *fleet, uint32_t index);
void flood_fleet_stop_node(struct flood_fleet *fleet, uint32_t index);
void flood_fleet_publish_roster(struct flood_fleet *fleet);
void flood_fleet_send_node_count(struct flood_fleet *fleet);
void flood_fleet_send_target_state(struct flood_fleet *fleet, uint32_t target,
				   enum target_state state);
void flood_fleet_send_event(struct flood_fleet *fleet,
			    struct flood_event *event);
uint32_t flood_fleet_node_index(const struct flood_fleet *fleet,
				uint64_t node_id);

void flood_callers_send(struct flood_fleet *fleet,
			struct flood_operation *operation);
void flood_callers_tick(struct flood_fleet *fleet, int64_t now_ms);
void flood_callers_handle_response(struct flood_fleet *fleet,
				   struct flood_request *request);
void flood_callers_handle_refusal(struct flood_fleet *fleet,
				  struct flood_request *request,
				  enum refusal_kind kind);
void flood_callers_handle_disconnect(struct flood_fleet *fleet,
				     struct flood_request *request);
void flood_callers_handle_node_death(struct flood_fleet *fleet,
				     uint64_t node_id);

void flood_chaos_tick(struct flood_fleet *fleet, int64_t now_ms);

struct request_callbacks flood_frontend_callbacks(struct flood_node *node);
void flood_frontend_handle_attempt_end(struct flood_node *node,
				       uint64_t attempt_id,
				       enum attempt_outcome outcome);
void flood_frontend_drop_attempts(struct flood_node *node);
void flood_frontend_connect_target(struct flood_fleet *fleet, uint32_t index);

#endif
