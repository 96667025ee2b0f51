#ifndef CORE_MEMBERSHIP_H
#define CORE_MEMBERSHIP_H

#include <core/member_event.h>
#include <core/member_message.h>
#include <core/node_view.h>

/*
 * The nodes of the region and their states as this node sees them. Implements
 * the SWIM protocol with the suspicion mechanism of Lifeguard. It adds two
 * things: it tells the partition of a zone from failures of its nodes, and a
 * node that resumes after a pause verifies its own state before it serves
 * again.
 */
struct membership;

/*
 * Callbacks of the membership; context is passed to each call. send passes a
 * message to the transport; to_node_id is NODE_NONE if only the address is
 * known. view_changed passes the new view, which is valid only during the call.
 * event reports one state change.
 */
struct membership_callbacks {
	void *context;
	void (*send)(void *context, uint64_t to_node_id,
		     const struct endpoint *to,
		     const struct member_message *message);
	void (*view_changed)(void *context, const struct node_view *view);
	void (*event)(void *context, const struct member_event *event);
};

/*
 * A time of zero selects its default. A node with is_standalone set expects no
 * peers and serves at once. joining_ms is the minimum time between the first
 * sync and serving. zone_partition_timeout_ms is how long members of a
 * partitioned zone stay suspect before they are declared dead.
 * dead_retention_ms is how long a dead member is remembered. A gap of
 * pause_threshold_ms between ticks counts as a pause of this node.
 */
struct membership_options {
	struct node self;
	bool is_standalone;
	uint64_t seed;
	uint32_t probe_interval_ms;
	uint32_t joining_ms;
	uint32_t zone_partition_timeout_ms;
	uint32_t dead_retention_ms;
	uint32_t pause_threshold_ms;
	struct membership_callbacks callbacks;
};

/* The interval at which membership_tick must be called. */
#define MEMBERSHIP_TICK_MS 50

struct membership *membership_new(const struct membership_options *options,
				  int64_t now_ms);
void membership_free(struct membership *membership);
void membership_set_seeds(struct membership *membership,
			  const struct endpoint *endpoints, uint32_t count);
void membership_receive(struct membership *membership, uint64_t from_node_id,
			const struct endpoint *from,
			const struct member_message *message, int64_t now_ms);
void membership_tick(struct membership *membership, int64_t now_ms);
void membership_defer_serving(struct membership *membership, bool is_deferred);
void membership_leave(struct membership *membership, int64_t now_ms);
void membership_stop(struct membership *membership, int64_t now_ms);
const struct node_view *membership_view(const struct membership *membership);

#endif
