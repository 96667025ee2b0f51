#ifndef CORE_FLOW_DIRECTOR_STATE_H
#define CORE_FLOW_DIRECTOR_STATE_H

#include "address_map.h"
#include "handover_senders.h"

#include <core/flow_director.h>
#include <core/flow_outbox.h>
#include <core/flow_table.h>
#include <core/home_map.h>
#include <core/pool_history.h>

/*
 * How long nodes may hold different generations of a pool. A superseded pool
 * counts as possibly in use elsewhere for this long.
 */
#define CONFIG_SKEW_MAX_MS (60 * 1000)

/* Progress of the handover of a slot to another node. */
enum handover_state {
	HANDOVER_NONE,
	HANDOVER_RUNNING,
	HANDOVER_ANNOUNCED,
	HANDOVER_ACKED,
};

/*
 * State of one slot on this node. pending_from: the node that may hold records
 * which this home has not received yet. handover_to: the node to which this one
 * hands over its records. The base of the slot is the pools that flows without
 * a record use until base_until_ms: those of base_revision.
 */
struct director_slot {
	uint64_t pending_from;
	int64_t pending_since_ms;
	/* The nodes that have reported their handovers of it as complete. */
	struct handover_senders synced_from;
	uint64_t handover_to;
	uint64_t base_revision;
	int64_t base_until_ms;
	enum handover_state handover;
	/* Never 0; changes when records of the slot must be sent again. */
	uint8_t epoch;
};

struct flow_director {
	struct flow_director_options options;
	struct rule_set *rules;
	struct address_map *addresses;
	uint64_t revision;
	/* Revision before the rule changes in the last CONFIG_SKEW_MAX_MS. */
	uint64_t earlier_revision;
	int64_t rules_changed_ms;
	struct node_view *view;
	struct home_map *homes;
	uint64_t self_id;
	struct flow_table *table;
	struct target_table *known_targets;
	/* Pool histories by service id. */
	GHashTable *histories;
	/* By node id: 1 + the revision at which pools were last sent to it. */
	GHashTable *prepared_revisions;
	struct flow_outbox *outbox;
	/* Nodes that need the pools of newer rules. */
	GHashTable *pool_receivers;
	struct director_slot *slots;
	/* Slots whose home is this node; scales load bounds to this node. */
	uint32_t home_slot_count;
	int64_t last_event_ms;
	int64_t stale_since_ms;
	int64_t leave_started_ms;
	int64_t last_mirror_refresh_ms;
	int64_t last_check_ms;
	/* The time of the current call, for use in callbacks. */
	int64_t now_ms;
	/* Buckets left to visit in the current pass that sends exceptions. */
	uint32_t pass_buckets_left;
	/* Some records could not be sent in this pass; another pass follows. */
	bool has_deferred_records;
	/* At least one slot may be in state HANDOVER_RUNNING. */
	bool has_running_handovers;
	bool is_leaving;
	bool may_stop;
	/*
	 * This node's process did not run for so long that the other nodes may
	 * have declared the node dead.
	 */
	bool is_stale;
	/* The other nodes declared this node dead; it has not rejoined yet. */
	bool is_declared_dead;
	/* The pool that is being received in several messages. */
	uint32_t incoming_pool_service_id;
	uint64_t incoming_pool_generation;
	GArray *incoming_pool_targets;
};

struct pool_history *
flow_director_find_history(const struct flow_director *director,
			   uint32_t service_id);
void flow_director_start_pass(struct flow_director *director);
void flow_director_send_due_pools(struct flow_director *director,
				  int64_t now_ms);
void flow_director_announce_slots(struct flow_director *director,
				  int64_t now_ms);
void flow_director_resend_pools(struct flow_director *director, int64_t now_ms);
void flow_director_add_load(struct flow_director *director,
			    struct flow_record *record, uint16_t target_index);
void flow_director_remove_load(struct flow_director *director,
			       const struct flow_record *record);
const struct pool *flow_director_base_pool(const struct flow_director *director,
					   const struct pool_history *history,
					   uint16_t slot_number,
					   int64_t now_ms);
bool flow_director_is_exception(struct flow_director *director,
				const struct flow_record *record,
				int64_t now_ms);
void flow_director_replicate(struct flow_director *director,
			     struct flow_record *record, int64_t now_ms);
void flow_director_sweep(struct flow_director *director, int64_t now_ms);
void flow_director_handle_message_acked(void *context, uint64_t to_node_id,
					const struct flow_message *message);
uint16_t flow_director_select_target(struct flow_director *director,
				     const struct pool_history *history,
				     uint64_t hash_low, enum reason *reason);
void flow_director_detect_pause(struct flow_director *director, int64_t now_ms);
void flow_director_clear_flows(struct flow_director *director);

#endif
