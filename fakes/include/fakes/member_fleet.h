#ifndef FAKES_MEMBER_FLEET_H
#define FAKES_MEMBER_FLEET_H

#include <core/membership.h>
#include <fakes/driver.h>

/*
 * Simulates the membership protocol of many nodes on one driver. Messages are
 * encoded by the wire codec, so that the counted bytes match those of the real
 * protocol.
 */
struct member_fleet;

/*
 * At most instance_count nodes run at a time, each on its own instance of the
 * driver; node_count of them run from the start. More may run in the course of
 * a simulation, as a node that is started on a used instance has a new id.
 * Instances are assigned to the zones in turn. Both callbacks may be NULL.
 */
struct member_fleet_options {
	uint32_t instance_count;
	uint32_t node_count;
	uint32_t zone_count;
	uint64_t seed;
	struct driver_link link;
	struct membership_options membership;
	void *context;
	void (*event)(void *context, uint32_t instance,
		      const struct member_event *event);
	void (*view_changed)(void *context, uint32_t instance,
			     const struct node_view *view);
};

struct member_fleet *
member_fleet_new(const struct member_fleet_options *options);
void member_fleet_free(struct member_fleet *fleet);
struct driver *member_fleet_driver(struct member_fleet *fleet);
void member_fleet_start(struct member_fleet *fleet, uint32_t instance);
/* Peers get no message; they only notice that the node stops replying. */
void member_fleet_kill(struct member_fleet *fleet, uint32_t instance);
/* Peers are told that the node is leaving; it still replies to them. */
void member_fleet_leave(struct member_fleet *fleet, uint32_t instance);
/* Peers are told that the node has left; it replies no more. */
void member_fleet_stop(struct member_fleet *fleet, uint32_t instance);
/* A paused node does not reply; it gets its peers' messages when resumed. */
void member_fleet_pause(struct member_fleet *fleet, uint32_t instance,
			bool is_paused);
void member_fleet_cut_zone(struct member_fleet *fleet, uint32_t zone,
			   bool is_cut);
uint32_t member_fleet_zone(const struct member_fleet *fleet, uint32_t instance);
uint64_t member_fleet_node_id(const struct member_fleet *fleet,
			      uint32_t instance);
const struct node_view *member_fleet_view(const struct member_fleet *fleet,
					  uint32_t instance);
enum node_state member_fleet_state(const struct member_fleet *fleet,
				   uint32_t viewer, uint32_t instance);
uint32_t member_fleet_serving_count(const struct member_fleet *fleet,
				    uint32_t viewer);
bool member_fleet_is_running(const struct member_fleet *fleet,
			     uint32_t instance);
bool member_fleet_is_converged(const struct member_fleet *fleet);
uint64_t member_fleet_sent_bytes(const struct member_fleet *fleet,
				 uint32_t instance);
uint64_t member_fleet_received_bytes(const struct member_fleet *fleet,
				     uint32_t instance);

#endif
