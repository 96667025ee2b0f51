#ifndef MEMBERSHIP_STATE_H
#define MEMBERSHIP_STATE_H

#include "member_probe.h"
#include "member_table.h"
#include "zone_watch.h"

#include <core/membership.h>

#define PROBE_HELPER_COUNT 3

/*
 * The phase of this node's own membership. In SELF_SYNCING it asks for the view
 * of another node. In SELF_SETTLING it has a view, or found no peer, and waits
 * for joining_ms and until is_serving_deferred is false. In SELF_VERIFYING,
 * after a pause, it probes peers to find out whether they declared it dead.
 */
enum self_phase {
	SELF_SYNCING,
	SELF_SETTLING,
	SELF_SERVING,
	SELF_VERIFYING,
	SELF_LEAVING,
	SELF_STOPPED,
};

/* The state shared by the membership_*.c files. */
struct membership {
	struct membership_options options;
	GRand *rand;
	struct member_table *table;
	struct member *self;
	struct probe_list *probes;
	struct zone_watch *zones;
	GArray *seed_endpoints;
	GArray *probe_order;
	uint32_t probe_order_next;
	enum self_phase phase;
	int64_t phase_since_ms;
	/*
	 * Set while this node lacks the rules or the state that it needs to
	 * serve.
	 */
	bool is_serving_deferred;
	int64_t next_request_ms;
	/* The incarnation under suspicion, refuted after a verification. */
	uint32_t accused_incarnation;
	int64_t last_tick_ms;
	int64_t next_probe_ms;
	int64_t next_gossip_ms;
	int64_t next_dead_probe_ms;
	int64_t next_seed_sync_ms;
	int64_t next_sync_ms;
	int64_t digest_changed_ms;
	struct node_view *view;
	uint64_t view_version;
	uint64_t digest;
	/* Moving average of the share of direct probes that failed. */
	double direct_failure_rate;
	bool is_view_stale;
	bool is_digest_stale;
	bool has_queued_updates;
	/*
	 * More than half of the other nodes are suspect, so this node itself is
	 * likely cut off from them.
	 */
	bool is_isolated;
};

/* Marks the published view and the digest as outdated. */
static inline void membership_mark_changed(struct membership *membership)
{
	membership->is_view_stale = true;
	membership->is_digest_stale = true;
}

/* membership_send.c: outgoing messages and gossip. */
void membership_send(struct membership *membership, uint64_t to_node_id,
		     const struct endpoint *to, struct member_message *message);
void membership_send_piggybacked(struct membership *membership,
				 const struct member *to,
				 struct member_message *message);
void membership_queue_update(struct membership *membership,
			     struct member *member);
void membership_requeue_update(struct membership *membership,
			       struct member *member);
void membership_gossip(struct membership *membership, int64_t now_ms);

/* membership_merge.c: updates from other nodes. */
void membership_merge(struct membership *membership, uint64_t from_node_id,
		      const struct member_update *update, int64_t now_ms);
void membership_suspect(struct membership *membership, struct member *member,
			uint64_t accuser_id, int64_t now_ms);
void membership_mark_dead(struct membership *membership, struct member *member,
			  uint64_t accuser_id, int64_t now_ms);
void membership_emit_event(struct membership *membership,
			   enum member_event_kind kind,
			   const struct node *node);

/* membership_suspect.c: timeouts of suspicions and zones. */
void membership_update_zone(struct membership *membership, uint32_t zone_id,
			    int64_t now_ms);
void membership_suspicion_tick(struct membership *membership, int64_t now_ms);

/* membership_probe.c: probes and acknowledgements. */
void membership_probe(struct membership *membership, struct member *member,
		      int64_t now_ms);
void membership_probe_tick(struct membership *membership, int64_t now_ms);
void membership_handle_probe(struct membership *membership,
			     uint64_t from_node_id, const struct endpoint *from,
			     const struct member_message *message);
void membership_handle_ack(struct membership *membership, uint64_t from_node_id,
			   const struct member_message *message,
			   int64_t now_ms);
void membership_handle_probe_request(struct membership *membership,
				     uint64_t from_node_id,
				     const struct member_message *message,
				     int64_t now_ms);

/* membership_sync.c: exchange of complete views. */
void membership_request_sync(struct membership *membership, uint64_t to_node_id,
			     const struct endpoint *to);
void membership_handle_sync_request(struct membership *membership,
				    uint64_t from_node_id,
				    const struct endpoint *from);
void membership_handle_digest(struct membership *membership,
			      uint64_t from_node_id,
			      const struct endpoint *from, uint64_t digest,
			      int64_t now_ms);
void membership_seed_tick(struct membership *membership, int64_t now_ms);
void membership_sync_with_seed(struct membership *membership);

/* membership_self.c: this node's own state. */
void membership_enter_phase(struct membership *membership,
			    enum self_phase phase, int64_t now_ms);
void membership_handle_self_update(struct membership *membership,
				   const struct member_update *update,
				   int64_t now_ms);
void membership_handle_sync_page(struct membership *membership, int64_t now_ms);
void membership_confirm_alive(struct membership *membership, int64_t now_ms);
void membership_self_tick(struct membership *membership, int64_t now_ms);
void membership_detect_pause(struct membership *membership, int64_t now_ms);
void membership_publish_view(struct membership *membership);

#endif
