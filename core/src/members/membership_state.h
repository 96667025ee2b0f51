#ifndef MEMBERSHIP_STATE_H
#define MEMBERSHIP_STATE_H

#include "member_probe.h"
#include "member_table.h"
#include "zone_watch.h"

#include <core/membership.h>

#define PROBE_HELPER_COUNT 3

/* How far this node's own membership has got. */
enum self_phase {
	SELF_SYNCING,
	SELF_SETTLING,
	SELF_SERVING,
	SELF_VERIFYING,
	SELF_LEAVING,
	SELF_STOPPED,
};

/* The state that the parts of the membership decision share. */
struct membership {
	struct membership_options options;
	GRand *rand;
	struct member_table *table;
	struct member *self;
	struct probe_list *probes;
	struct zone_watch *zones;
	GArray *hints;
	GArray *rotation;
	uint32_t rotation_next;
	enum self_phase phase;
	int64_t phase_since_ms;
	/* This node still learns what it must know before it serves. */
	bool is_held;
	int64_t next_request_ms;
	uint32_t accused_incarnation;
	int64_t last_tick_ms;
	int64_t next_probe_ms;
	int64_t next_gossip_ms;
	int64_t next_dead_probe_ms;
	int64_t next_hint_ms;
	int64_t next_sync_ms;
	int64_t changed_ms;
	struct node_view *view;
	uint64_t view_version;
	uint64_t digest;
	double direct_failure_share;
	bool is_dirty;
	bool is_digest_stale;
	bool has_news;
	bool is_isolated;
};

/* Has the view published, and the digest computed, anew. */
static inline void membership_mark_changed(struct membership *membership)
{
	membership->is_dirty = true;
	membership->is_digest_stale = true;
}

/* membership_send.c: messages out. */
void membership_send(struct membership *membership, uint64_t to_node_id,
		     const struct endpoint *to, struct member_message *message);
void membership_send_news(struct membership *membership,
			  const struct member *to,
			  struct member_message *message);
void membership_spread(struct membership *membership, struct member *member);
void membership_correct(struct membership *membership, struct member *member);
void membership_gossip(struct membership *membership, int64_t now_ms);

/* membership_merge.c: what others say. */
void membership_merge(struct membership *membership, uint64_t from_node_id,
		      const struct member_update *update, int64_t now_ms);
void membership_suspect(struct membership *membership, struct member *member,
			uint64_t accuser_id, int64_t now_ms);
void membership_bury(struct membership *membership, struct member *member,
		     uint64_t accuser_id, int64_t now_ms);
void membership_report(struct membership *membership,
		       enum member_event_kind kind, const struct node *node);

/* membership_suspect.c: suspicions and zones as time passes. */
void membership_judge_zone(struct membership *membership, uint32_t zone_id,
			   int64_t now_ms);
void membership_expire(struct membership *membership, int64_t now_ms);

/* membership_probe.c: probes and acknowledgements. */
void membership_probe(struct membership *membership, struct member *member,
		      int64_t now_ms);
void membership_probe_tick(struct membership *membership, int64_t now_ms);
void membership_on_probe(struct membership *membership, uint64_t from_node_id,
			 const struct endpoint *from,
			 const struct member_message *message);
void membership_on_ack(struct membership *membership, uint64_t from_node_id,
		       const struct member_message *message, int64_t now_ms);
void membership_on_probe_request(struct membership *membership,
				 uint64_t from_node_id,
				 const struct member_message *message,
				 int64_t now_ms);

/* membership_sync.c: whole views. */
void membership_request_sync(struct membership *membership, uint64_t to_node_id,
			     const struct endpoint *to);
void membership_on_sync_request(struct membership *membership,
				uint64_t from_node_id,
				const struct endpoint *from);
void membership_on_digest(struct membership *membership, uint64_t from_node_id,
			  const struct endpoint *from, uint64_t digest,
			  int64_t now_ms);
void membership_hint_tick(struct membership *membership, int64_t now_ms);
void membership_ask_hint(struct membership *membership);

/* membership_self.c: this node's own state. */
void membership_enter(struct membership *membership, enum self_phase phase,
		      int64_t now_ms);
void membership_on_self(struct membership *membership,
			const struct member_update *update, int64_t now_ms);
void membership_on_synced(struct membership *membership, int64_t now_ms);
void membership_on_verified(struct membership *membership, int64_t now_ms);
void membership_self_tick(struct membership *membership, int64_t now_ms);
void membership_notice_pause(struct membership *membership, int64_t now_ms);
void membership_publish(struct membership *membership);

#endif
