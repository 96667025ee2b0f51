#ifndef CORE_MEMBERSHIP_H
#define CORE_MEMBERSHIP_H

#include <core/member_event.h>
#include <core/member_message.h>
#include <core/node_view.h>

/*
 * Which nodes of the region there are and how they are, as this node sees it:
 * the SWIM protocol with the suspicion of Lifeguard, zones that are cut off as
 * a whole, and a state of its own for a node that wakes from a pause.
 */
struct membership;

/*
 * send gives a message to the transport; to_node_id is NODE_NONE where only
 * an address is known. view_changed hands out the new view, valid during the
 * call. event tells of one decision.
 */
struct membership_effects {
	void *context;
	void (*send)(void *context, uint64_t to_node_id,
		     const struct endpoint *to,
		     const struct member_message *message);
	void (*view_changed)(void *context, const struct node_view *view);
	void (*event)(void *context, const struct member_event *event);
};

/*
 * Zero in a time stands for its preset. A node that is alone serves at once
 * and looks for nobody.
 */
struct membership_options {
	struct node self;
	bool is_alone;
	uint64_t seed;
	uint32_t probe_interval_ms;
	uint32_t joining_ms;
	uint32_t zone_hold_ms;
	uint32_t dead_retention_ms;
	uint32_t pause_threshold_ms;
	struct membership_effects effects;
};

#define MEMBERSHIP_TICK_MS 50

struct membership *membership_new(const struct membership_options *options,
				  int64_t now_ms);
void membership_free(struct membership *membership);
void membership_set_hints(struct membership *membership,
			  const struct endpoint *endpoints, uint32_t count);
void membership_receive(struct membership *membership, uint64_t from_node_id,
			const struct endpoint *from,
			const struct member_message *message, int64_t now_ms);
void membership_tick(struct membership *membership, int64_t now_ms);
void membership_hold(struct membership *membership, bool is_deferred);
void membership_leave(struct membership *membership, int64_t now_ms);
void membership_stop(struct membership *membership, int64_t now_ms);
const struct node_view *membership_view(const struct membership *membership);

#endif
