#ifndef CALLER_FLOW_H
#define CALLER_FLOW_H

#include <fakes/end_event.h>
#include <fakes/end_packet.h>
#include <glib.h>

/* A caller's end of one flow: its own clock, packets and answers. */
struct caller_flow;

/* send and seen are called during caller_flow_receive and caller_flow_tick. */
struct caller_flow_options {
	struct endpoint caller;
	struct endpoint service;
	int64_t end_ms;
	uint32_t pause_ms;
	uint32_t first_sequence;
	uint64_t first_request_id;
	void *context;
	void (*send)(void *context, const struct end_packet *packet);
	void (*seen)(void *context, const struct end_event *event);
};

struct caller_flow *caller_flow_new(const struct caller_flow_options *options,
				    int64_t now_ms);
void caller_flow_free(struct caller_flow *flow);
void caller_flow_receive(struct caller_flow *flow,
			 const struct end_packet *packet,
			 enum end_packet_result result, int64_t now_ms);
void caller_flow_tick(struct caller_flow *flow, int64_t now_ms);
void caller_flow_finish(struct caller_flow *flow);
bool caller_flow_is_over(const struct caller_flow *flow);

#endif
