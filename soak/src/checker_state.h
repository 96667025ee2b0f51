#ifndef CHECKER_STATE_H
#define CHECKER_STATE_H

#include <fakes/flow_event.h>
#include <glib.h>
#include <soak/soak_fleet_event.h>

/* One start of a fake host; a restart is recorded as a new host. */
struct checker_host {
	uint32_t service;
	uint32_t zone;
	bool is_draining;
	bool is_stopped;
	int64_t changed_ms;
};

/* A zone that was evacuated, or whose evacuation was taken back. */
struct checker_zone {
	bool is_evacuated;
	int64_t changed_ms;
};

/* The route from an address to a service; it is kept after its removal. */
struct checker_route {
	struct endpoint address;
	uint32_t service;
	/* Bit mask of all services that it has ever led to. */
	uint64_t service_mask;
	bool is_present;
	int64_t changed_ms;
	uint32_t version;
};

/*
 * The latest flow of a caller address, the host that it was opened on, and the
 * sequence number of the packet that opened it.
 */
struct checker_flow {
	uint32_t host;
	uint32_t sequence;
	bool is_open;
	uint32_t misrouted_packet_count;
	/* A host that lacks the flow has reset it, through a stable node. */
	bool is_reset_by_other_host;
	/* A later flow from the address began and is not open yet. */
	bool is_superseded;
};

/*
 * The hosts, zones, routes, flows and executed requests that the checker knows.
 */
struct checker_state;

struct checker_state *checker_state_new(void);
void checker_state_free(struct checker_state *state);
void checker_state_update(struct checker_state *state,
			  const struct soak_fleet_event *fleet_event);
const struct checker_host *checker_state_host(const struct checker_state *state,
					      uint32_t host);
const struct checker_zone *checker_state_zone(const struct checker_state *state,
					      uint32_t zone);
const struct checker_route *
checker_state_route(const struct checker_state *state,
		    const struct endpoint *address);
struct checker_flow *checker_state_flow(struct checker_state *state,
					const struct endpoint *caller);
bool checker_route_had_service(const struct checker_route *route,
			       uint32_t service);
uint32_t checker_state_count_execution(struct checker_state *state,
				       uint64_t request_id);

#endif
