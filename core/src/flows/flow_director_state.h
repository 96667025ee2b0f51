#ifndef CORE_FLOW_DIRECTOR_STATE_H
#define CORE_FLOW_DIRECTOR_STATE_H

#include "address_map.h"

#include <core/flow_director.h>
#include <core/flow_outbox.h>
#include <core/flow_table.h>
#include <core/home_map.h>
#include <core/pool_history.h>

/* How long nodes may hold different generations; doubt lasts as long. */
#define UNEVEN_MS (60 * 1000)

/* How far the handover of a slot to its next home has come. */
enum handover_state {
	HANDOVER_NONE,
	HANDOVER_RUNNING,
	HANDOVER_ANNOUNCED,
	HANDOVER_TAKEN,
};

/*
 * What this node knows of one slot. pending_from: the node that may hold
 * records which this home has not learned yet. given_to: the node that this
 * one hands its records to. base_revision: until base_until_ms, a flow
 * without a record follows the pools of that revision.
 */
struct director_slot {
	uint64_t pending_from;
	int64_t pending_since_ms;
	/* The node that has said that it handed over all it knew. */
	uint64_t learned_from;
	uint64_t given_to;
	uint64_t base_revision;
	int64_t base_until_ms;
	enum handover_state handover;
	/* Never 0; changes when flows of the slot must be sent anew. */
	uint8_t epoch;
};

struct flow_director {
	struct flow_director_options options;
	struct rule_set *rules;
	struct address_map *addresses;
	uint64_t revision;
	/* The revision before the changes of the last UNEVEN_MS. */
	uint64_t earlier_revision;
	int64_t rules_changed_ms;
	struct node_view *view;
	struct home_map *homes;
	uint64_t self_id;
	struct flow_table *table;
	struct target_book *book;
	GHashTable *histories;
	/* Of nodes: the revision, plus one, whose pools they were sent. */
	GHashTable *prepared;
	struct flow_outbox *outbox;
	/* Nodes that wait for the pools of newer rules. */
	GHashTable *pools_due;
	struct director_slot *slots;
	/* The part of all slots whose home is here, for bounds per node. */
	uint32_t home_slot_count;
	int64_t last_event_ms;
	int64_t stale_since_ms;
	int64_t left_ms;
	int64_t refreshed_ms;
	int64_t checked_ms;
	/* The time of the call being handled, for callbacks. */
	int64_t now_ms;
	/* Buckets still to visit in the pass that looks for exceptions. */
	uint32_t pass_left;
	bool has_skipped;
	/* Some slot may wait to be announced. */
	bool has_handovers;
	bool is_leaving;
	bool may_stop;
	/* Paused for so long that the others may have declared it dead. */
	bool is_stale;
	/* Declared dead by the others and not yet back. */
	bool is_out;
	uint32_t pool_service_id;
	uint64_t pool_generation;
	/* A pool that arrives in parts, until it is whole. */
	GArray *pool_targets;
};

struct pool_history *flow_director_history(const struct flow_director *director,
					   uint32_t service_id);
void flow_director_start_pass(struct flow_director *director);
void flow_director_send_pools(struct flow_director *director, int64_t now_ms);
void flow_director_announce(struct flow_director *director, int64_t now_ms);
void flow_director_resend_pools(struct flow_director *director, int64_t now_ms);
void flow_director_count(struct flow_director *director,
			 struct flow_record *record, uint16_t target_index);
void flow_director_uncount(struct flow_director *director,
			   const struct flow_record *record);
const struct pool *flow_director_base_pool(const struct flow_director *director,
					   const struct pool_history *history,
					   uint16_t slot, int64_t now_ms);
bool flow_director_is_exception(struct flow_director *director,
				const struct flow_record *record,
				int64_t now_ms);
void flow_director_mirror(struct flow_director *director,
			  struct flow_record *record, int64_t now_ms);
void flow_director_sweep(struct flow_director *director, int64_t now_ms);
void flow_director_acked(void *context, uint64_t to_node_id,
			 const struct flow_message *message);
uint16_t flow_director_choose(struct flow_director *director,
			      const struct pool_history *history,
			      uint64_t print_low, enum reason *reason);
void flow_director_notice_pause(struct flow_director *director, int64_t now_ms);
void flow_director_forget_all(struct flow_director *director);

#endif
