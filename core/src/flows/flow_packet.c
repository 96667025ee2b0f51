#include "flow_director_state.h"

#define HOP_LIMIT 2

/* A packet with the values looked up for it. */
struct packet_context {
	const struct packet_event *event;
	const struct rule *rule;
	uint64_t hash_low;
	uint16_t slot_number;
	struct director_slot *slot;
	const struct slot_homes *homes;
	int64_t now_ms;
};

static struct placement drop(enum reason reason, uint32_t service_id)
{
	return (struct placement){
		.kind = PLACE_DROP, .reason = reason, .service_id = service_id};
}

static struct placement forward_to_node(uint64_t node_id, enum reason reason,
					uint32_t service_id)
{
	return (struct placement){.kind = PLACE_TO_NODE,
				  .reason = reason,
				  .service_id = service_id,
				  .node_id = node_id};
}

/*
 * Returns whether a target must not get any packets. A failing target that was
 * removed from its pool is dead, and its address may soon be reused. A target
 * that was removed but is not failing still serves its existing flows.
 */
static bool is_unusable(const struct target_record *known_target)
{
	return known_target->is_endpoint_reused ||
	       known_target->target.state == TARGET_GONE ||
	       (known_target->target.state == TARGET_FAILING &&
		!known_target->is_in_current_pool);
}

/*
 * Final check before a packet is sent to a target: the target must belong to
 * the service that the packet is addressed to, and must still own its address.
 */
static struct placement place_on_target(struct flow_director *director,
					const struct packet_context *packet,
					uint16_t target_index,
					enum reason reason)
{
	const struct target_record *known_target =
		target_table_at(director->known_targets, target_index);
	uint32_t service_id = packet->rule->service.service_id;

	if (known_target->target.service_id != service_id ||
	    is_unusable(known_target))
		return drop(REASON_STALE_TARGET, service_id);
	if (known_target->target.state == TARGET_CUT_OFF)
		return drop(REASON_TARGET_CUT_OFF, service_id);
	return (struct placement){
		.kind = PLACE_TO_TARGET,
		.reason = reason,
		.service_id = service_id,
		.target_id = known_target->target.target_id,
		.endpoint = known_target->target.endpoint,
	};
}

/*
 * Returns whether the packet is the first of a TCP flow. A UDP datagram does
 * not show whether it is the first of its flow.
 */
static bool is_opening(const struct packet_event *event)
{
	return event->kind == PACKET_FIRST &&
	       event->key.protocol == FLOW_PROTOCOL_TCP;
}

static enum flow_state next_state(const struct flow_record *record,
				  const struct packet_event *event)
{
	if (event->key.protocol == FLOW_PROTOCOL_UDP)
		return FLOW_DATAGRAM;
	if (event->kind == PACKET_RESET || event->kind == PACKET_LAST)
		return FLOW_CLOSING;
	if (event->kind == PACKET_FIRST || record->state == FLOW_CLOSING)
		return record->state;
	return FLOW_ESTABLISHED;
}

/* Returns whether a record is valid for the flow of this packet. */
static bool is_record_valid(struct flow_director *director,
			    const struct packet_context *packet,
			    const struct flow_record *record)
{
	const struct target_record *known_target =
		target_table_at(director->known_targets, record->target_index);

	if (flow_table_is_idle(record, packet->now_ms))
		return false;
	if (!is_opening(packet->event))
		return true;
	return record->state != FLOW_CLOSING && !is_unusable(known_target) &&
	       known_target->target.service_id ==
		       packet->rule->service.service_id;
}

/*
 * Returns whether a mirrored record may be used: if this node is the home,
 * there is no home, or another node forwarded the packet. A packet directly
 * from the fabric goes to its home first.
 */
static bool may_use_mirror(const struct flow_director *director,
			   const struct packet_context *packet)
{
	return packet->event->hop_count > 0 ||
	       packet->homes->home == director->self_id ||
	       packet->homes->home == NODE_NONE;
}

static void promote_mirror(struct flow_director *director,
			   struct flow_record *record)
{
	flow_director_remove_load(director, record);
	record->is_mirror = false;
	record->sent_epoch = 0;
	flow_director_add_load(director, record, record->target_index);
}

static struct placement use_record(struct flow_director *director,
				   const struct packet_context *packet,
				   struct flow_record *record)
{
	enum flow_state state = next_state(record, packet->event);
	bool is_now_established =
		record->state == FLOW_EMBRYONIC && state != FLOW_EMBRYONIC;
	enum reason reason = record->is_mirror ? REASON_MIRROR : REASON_RECORD;

	if (record->is_mirror && packet->homes->home == director->self_id) {
		promote_mirror(director, record);
		is_now_established = true;
	}
	flow_table_touch(director->table, record, state, packet->now_ms);
	if (is_now_established)
		flow_director_replicate(director, record, packet->now_ms);
	return place_on_target(director, packet, record->target_index, reason);
}

static bool is_local_slot(const struct flow_director *director,
			  const struct packet_context *packet)
{
	if (director->is_leaving || director->is_declared_dead)
		return false;
	if (packet->homes->home == director->self_id)
		return packet->slot->handover == HANDOVER_NONE ||
		       packet->slot->handover == HANDOVER_RUNNING;
	/* In the view of the node that forwarded it, this node is the home. */
	return packet->event->hop_count > 0 &&
	       packet->homes->next_home == director->self_id;
}

/* Returns the next hop of a packet without a record; may be this node. */
static uint64_t next_node(const struct flow_director *director,
			  const struct packet_context *packet,
			  enum reason *reason)
{
	*reason = REASON_TO_HOME;
	if (is_local_slot(director, packet)) {
		if (is_opening(packet->event))
			return director->self_id;
		*reason = REASON_TO_FORMER_HOME;
		return packet->slot->pending_from != NODE_NONE
			       ? packet->slot->pending_from
			       : director->self_id;
	}
	if (packet->homes->home != director->self_id &&
	    packet->homes->home != NODE_NONE)
		return packet->homes->home;
	*reason = REASON_TO_FORMER_HOME;
	if (packet->slot->pending_from != NODE_NONE &&
	    !is_opening(packet->event))
		return packet->slot->pending_from;
	*reason = REASON_TO_HOME;
	return packet->slot->handover_to;
}

static struct flow_record *
reset_or_insert_record(struct flow_director *director,
		       const struct packet_context *packet,
		       enum flow_state state)
{
	struct flow_record *record =
		flow_table_find(director->table, packet->hash_low);

	if (!record)
		return flow_table_insert(director->table, packet->hash_low,
					 state, packet->now_ms);
	flow_director_remove_load(director, record);
	record->is_mirror = false;
	record->is_provisional = false;
	record->sent_epoch = 0;
	flow_table_touch(director->table, record, state, packet->now_ms);
	return record;
}

/*
 * Places a new flow when the table has no room for its record. If embryonic
 * flows take up room, as in a flood of first packets, the flow may still use
 * the default target, which every node can compute.
 */
static struct placement
place_without_record(struct flow_director *director,
		     const struct packet_context *packet, uint16_t target_index,
		     enum reason reason)
{
	uint32_t service_id = packet->rule->service.service_id;

	if (flow_table_embryonic_count(director->table) == 0 ||
	    reason != REASON_TABLE_DEFAULT)
		return drop(REASON_TABLE_FULL, service_id);
	return place_on_target(director, packet, target_index,
			       REASON_FIRST_PACKET_LIMIT);
}

static struct placement open_flow(struct flow_director *director,
				  const struct packet_context *packet,
				  const struct pool_history *history)
{
	enum reason reason;
	uint16_t target_index = flow_director_select_target(
		director, history, packet->hash_low, &reason);
	struct flow_record *record;

	if (target_index == TARGET_INDEX_NONE)
		return drop(reason, packet->rule->service.service_id);
	if (!flow_table_has_embryonic_room(director->table))
		return place_without_record(director, packet, target_index,
					    reason);
	record = reset_or_insert_record(director, packet, FLOW_EMBRYONIC);
	if (!record)
		return drop(REASON_TABLE_FULL,
			    packet->rule->service.service_id);
	flow_director_add_load(director, record, target_index);
	/*
	 * The views of the nodes differ or the slot is being handed over, so
	 * send the record to the home immediately.
	 */
	if (!is_local_slot(director, packet))
		flow_director_replicate(director, record, packet->now_ms);
	return place_on_target(director, packet, target_index, reason);
}

/*
 * Places a packet of an existing flow that no node has a record of. Until
 * base_until_ms of its slot, the flow uses the default target at the base
 * revision that the previous home announced. After that it uses the current
 * default target, which is correct unless the flow was an exception whose
 * record is lost.
 */
static struct placement resume_flow(struct flow_director *director,
				    const struct packet_context *packet,
				    const struct pool_history *history)
{
	const struct pool *pool = flow_director_base_pool(
		director, history, packet->slot_number, packet->now_ms);
	uint16_t target_index =
		pool_default_target_index(pool, packet->hash_low);
	enum reason reason =
		pool == &history->pools[0] &&
				packet->slot->base_until_ms <= packet->now_ms
			? REASON_NO_RECORD
			: REASON_HANDOVER;
	struct flow_record *record;

	if (target_index == TARGET_INDEX_NONE)
		return drop(REASON_NO_TARGET, packet->rule->service.service_id);
	if (!is_local_slot(director, packet))
		return place_on_target(director, packet, target_index,
				       REASON_NO_RECORD);
	record = reset_or_insert_record(director, packet, FLOW_ESTABLISHED);
	if (record) {
		record->is_provisional = true;
		flow_director_add_load(director, record, target_index);
		flow_table_touch(director->table, record,
				 next_state(record, packet->event),
				 packet->now_ms);
		flow_director_replicate(director, record, packet->now_ms);
	}
	return place_on_target(director, packet, target_index, reason);
}

/*
 * Returns whether a UDP datagram without a record opens a flow. Until
 * base_until_ms of its slot, the datagram may belong to a flow that this home
 * has taken over without a record.
 */
static bool is_new_datagram(struct flow_director *director,
			    const struct packet_context *packet,
			    const struct pool_history *history)
{
	return packet->event->key.protocol == FLOW_PROTOCOL_UDP &&
	       packet->slot->base_until_ms <= packet->now_ms &&
	       is_local_slot(director, packet);
}

/*
 * Returns whether the new home of the slot has forwarded a packet of a flow
 * without a record to this node, the previous home or mirror of the slot. If
 * this node has no record either, the flow uses its default target.
 */
static bool is_forwarded_by_new_home(const struct packet_context *packet)
{
	return !is_opening(packet->event) &&
	       packet->event->from_node_id == packet->slot->handover_to &&
	       packet->slot->pending_from == NODE_NONE;
}

static struct placement place_locally(struct flow_director *director,
				      const struct packet_context *packet)
{
	uint32_t service_id = packet->rule->service.service_id;
	struct pool_history *history =
		flow_director_find_history(director, service_id);

	if (!history || history->pool_count == 0)
		return drop(REASON_NO_TARGET, service_id);
	/*
	 * The views of the nodes differ. If the caller sends the packet again,
	 * fewer hops may be enough.
	 */
	if (packet->event->hop_count >= HOP_LIMIT &&
	    !is_local_slot(director, packet) &&
	    !is_forwarded_by_new_home(packet))
		return drop(REASON_HOP_LIMIT, service_id);
	if (is_opening(packet->event) ||
	    is_new_datagram(director, packet, history))
		return open_flow(director, packet, history);
	/* Another node may have the record, but the hop limit is reached. */
	if (is_local_slot(director, packet) &&
	    packet->slot->pending_from != NODE_NONE &&
	    packet->slot->pending_from != packet->event->from_node_id &&
	    !handover_senders_contains(&packet->slot->synced_from,
				       packet->event->from_node_id))
		return drop(REASON_HOP_LIMIT, service_id);
	if (node_view_is_joining_alone(director->view))
		return drop(REASON_NOT_READY, service_id);
	return resume_flow(director, packet, history);
}

static struct placement place_packet(struct flow_director *director,
				     const struct packet_context *packet)
{
	struct flow_record *record =
		flow_table_find(director->table, packet->hash_low);
	enum reason reason;
	uint64_t node_id;

	if (record && is_record_valid(director, packet, record) &&
	    (!record->is_mirror || may_use_mirror(director, packet)))
		return use_record(director, packet, record);
	node_id = next_node(director, packet, &reason);
	if (node_id == director->self_id || node_id == NODE_NONE ||
	    packet->event->hop_count >= HOP_LIMIT)
		return place_locally(director, packet);
	return forward_to_node(node_id, reason,
			       packet->rule->service.service_id);
}

/*
 * Decides whether a packet goes to a target, to another node, or is dropped.
 * hop_count and from_node_id of the event are 0 for a packet from the fabric.
 * A packet is forwarded between nodes at most twice.
 */
struct placement flow_director_place_packet(struct flow_director *director,
					    const struct packet_event *event,
					    int64_t now_ms)
{
	struct packet_context packet = {.event = event, .now_ms = now_ms};

	packet.hash_low =
		flow_key_hash(&event->key, director->options.flow_seed).low;
	flow_table_prefetch(director->table, packet.hash_low);
	director->now_ms = now_ms;
	flow_director_detect_pause(director, now_ms);
	if (director->addresses)
		packet.rule = address_map_find(director->addresses,
					       &event->key.service);
	if (!packet.rule)
		return drop(REASON_NO_SERVICE, SERVICE_NONE);
	if (director->is_stale || !director->view)
		return drop(REASON_STALE_VIEW, packet.rule->service.service_id);
	packet.slot_number = home_slot(packet.hash_low);
	packet.slot = &director->slots[packet.slot_number];
	packet.homes = home_map_at(director->homes, packet.slot_number);
	return place_packet(director, &packet);
}
