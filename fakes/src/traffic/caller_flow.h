#ifndef CALLER_FLOW_H
#define CALLER_FLOW_H

#include <fakes/flow_event.h>
#include <fakes/flow_packet.h>
#include <glib.h>

/*
 * The caller's state machine of one flow. It has no socket and no timer: its
 * owner passes in packets and the time.
 */
struct caller_flow;

/*
 * rand draws the pauses and must outlive the flow. send is called from
 * caller_flow_new, caller_flow_receive and caller_flow_tick, on_event from the
 * latter two.
 */
struct caller_flow_options {
	struct endpoint caller;
	struct endpoint service;
	int64_t end_ms;
	uint32_t pause_min_ms;
	uint32_t pause_max_ms;
	uint32_t first_sequence;
	uint64_t first_request_id;
	GRand *rand;
	void *context;
	void (*send)(void *context, const struct flow_packet *packet);
	void (*on_event)(void *context, const struct flow_event *event);
};

struct caller_flow *caller_flow_new(const struct caller_flow_options *options,
				    int64_t now_ms);
void caller_flow_free(struct caller_flow *flow);
void caller_flow_receive(struct caller_flow *flow,
			 const struct flow_packet *packet,
			 enum flow_packet_result result, int64_t now_ms);
void caller_flow_tick(struct caller_flow *flow, int64_t now_ms);
void caller_flow_finish(struct caller_flow *flow);
bool caller_flow_has_ended(const struct caller_flow *flow);

#endif
