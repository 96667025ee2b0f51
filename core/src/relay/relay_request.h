#ifndef RELAY_REQUEST_H
#define RELAY_REQUEST_H

#include <core/relay_flow.h>
#include <core/relay_packet.h>

/*
 * What a packet of an open flow shows of the caller's requests. is_begun: it
 * begins a request, is_first: the flow's first one. is_ended: a request whose
 * beginning is certain has been answered. is_seen: the answer was acknowledged
 * by itself, and duration_ms is how long the target took; else duration_ms is
 * 0, as the time includes the caller's pause.
 */
struct relay_request_event {
	bool is_begun;
	bool is_first;
	bool is_ended;
	bool is_seen;
	uint32_t duration_ms;
};

void relay_request_start(struct relay_flow *flow, int64_t now_ms);
void relay_request_take_over(struct relay_flow *flow);
struct relay_request_event relay_request_note(struct relay_flow *flow,
					      const struct relay_packet *packet,
					      int64_t previous_ms,
					      int64_t now_ms);

#endif
