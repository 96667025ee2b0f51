#ifndef CORE_FLOW_DIRECTOR_H
#define CORE_FLOW_DIRECTOR_H

#include <core/node_view.h>
#include <core/packet_event.h>
#include <core/placement.h>
#include <core/rule_set.h>

/*
 * Makes every flow decision of one node: which node is the home of a flow,
 * which flows need a record, where records are mirrored, and how they are
 * handed over when the home changes. It does no I/O: events are passed in with
 * the current time, and messages to other nodes are passed, not yet encoded, to
 * the send callback.
 */
struct flow_director;
struct flow_message;

/* Output callbacks of the director; context is passed to each call. */
struct flow_callbacks {
	void *context;
	void (*send)(void *context, uint64_t to_node_id,
		     const struct flow_message *message);
};

struct flow_director_options {
	uint64_t flow_seed;
	uint32_t flow_capacity;
	uint32_t control_bytes_per_s;
	struct flow_callbacks callbacks;
};

struct flow_director *
flow_director_new(const struct flow_director_options *options);
void flow_director_free(struct flow_director *director);
void flow_director_set_rules(struct flow_director *director,
			     const struct rule_set *rules, int64_t now_ms);
void flow_director_set_view(struct flow_director *director,
			    const struct node_view *view, int64_t now_ms);
void flow_director_set_target_state(struct flow_director *director,
				    uint64_t target_id, enum target_state state,
				    int64_t now_ms);
struct placement flow_director_place_packet(struct flow_director *director,
					    const struct packet_event *event,
					    int64_t now_ms);
void flow_director_handle_message(struct flow_director *director,
				  uint64_t from_node_id,
				  const struct flow_message *message,
				  int64_t now_ms);
void flow_director_leave(struct flow_director *director, int64_t now_ms);
bool flow_director_is_ready(const struct flow_director *director);
bool flow_director_may_stop(const struct flow_director *director);
uint32_t flow_director_flow_count(const struct flow_director *director);
uint64_t flow_director_size_bytes(const struct flow_director *director);
uint32_t flow_director_queued_count(const struct flow_director *director);
uint64_t flow_director_sent_bytes(const struct flow_director *director);
void flow_director_tick(struct flow_director *director, int64_t now_ms);

#endif
