#include "flow_director_state.h"

#define HOP_LIMIT 2

/* One packet on its way through the decision. */
struct packet_case {
	const struct packet_event *event;
	const struct rule *rule;
	uint64_t print_low;
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

static struct placement to_node(uint64_t node_id, enum reason reason,
				uint32_t service_id)
{
	return (struct placement){.kind = PLACE_TO_NODE,
				  .reason = reason,
				  .service_id = service_id,
				  .node_id = node_id};
}

/*
 * A target that fails and was taken out of its pool is dead, and its address
 * may soon be another's; one that only drains still answers.
 */
static bool is_lost(const struct known_target *known)
{
	return known->is_reused || known->target.state == TARGET_GONE ||
	       (known->target.state == TARGET_FAILING && !known->is_in_force);
}

/*
 * The last check before a packet leaves for a target: the target must belong
 * to the service that the packet names, and its address to the target.
 */
static struct placement to_target(struct flow_director *director,
				  const struct packet_case *packet,
				  uint16_t target_index, enum reason reason)
{
	const struct known_target *known =
		target_book_at(director->book, target_index);
	uint32_t service_id = packet->rule->service.service_id;

	if (known->target.service_id != service_id || is_lost(known))
		return drop(REASON_STALE_TARGET, service_id);
	if (known->target.state == TARGET_CUT_OFF)
		return drop(REASON_TARGET_CUT_OFF, service_id);
	return (struct placement){
		.kind = PLACE_TO_TARGET,
		.reason = reason,
		.service_id = service_id,
		.target_id = known->target.target_id,
		.endpoint = known->target.endpoint,
	};
}

/* A datagram may open a flow or belong to one; only TCP says which. */
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

/* Tells whether a record still speaks for the flow of this packet. */
static bool is_usable(struct flow_director *director,
		      const struct packet_case *packet,
		      const struct flow_record *record)
{
	const struct known_target *known =
		target_book_at(director->book, record->target_index);

	if (flow_table_is_idle(record, packet->now_ms))
		return false;
	if (!is_opening(packet->event))
		return true;
	return record->state != FLOW_CLOSING && !is_lost(known) &&
	       known->target.service_id == packet->rule->service.service_id;
}

/*
 * A mirror's record serves the home and those that the home sends on to here;
 * a packet fresh from the fabric goes to its home first.
 */
static bool is_mirror_asked(const struct flow_director *director,
			    const struct packet_case *packet)
{
	return packet->event->hop_count > 0 ||
	       packet->homes->home == director->self_id ||
	       packet->homes->home == NODE_NONE;
}

static void promote(struct flow_director *director, struct flow_record *record)
{
	flow_director_uncount(director, record);
	record->is_mirror = false;
	record->sent_epoch = 0;
	flow_director_count(director, record, record->target_index);
}

static struct placement use_record(struct flow_director *director,
				   const struct packet_case *packet,
				   struct flow_record *record)
{
	enum flow_state state = next_state(record, packet->event);
	bool is_now_established =
		record->state == FLOW_EMBRYONIC && state != FLOW_EMBRYONIC;
	enum reason reason = record->is_mirror ? REASON_MIRROR : REASON_RECORD;

	if (record->is_mirror && packet->homes->home == director->self_id) {
		promote(director, record);
		is_now_established = true;
	}
	flow_table_touch(director->table, record, state, packet->now_ms);
	if (is_now_established)
		flow_director_mirror(director, record, packet->now_ms);
	return to_target(director, packet, record->target_index, reason);
}

static bool is_my_slot(const struct flow_director *director,
		       const struct packet_case *packet)
{
	if (director->is_leaving || director->is_out)
		return false;
	if (packet->homes->home == director->self_id)
		return packet->slot->handover == HANDOVER_NONE ||
		       packet->slot->handover == HANDOVER_RUNNING;
	/* Whoever sends it here sees this node as the home already. */
	return packet->event->hop_count > 0 &&
	       packet->homes->next_home == director->self_id;
}

/* Returns the node that a packet without a record goes to from here. */
static uint64_t next_node(const struct flow_director *director,
			  const struct packet_case *packet, enum reason *reason)
{
	*reason = REASON_TO_HOME;
	if (is_my_slot(director, packet)) {
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
	return packet->slot->given_to;
}

static struct flow_record *reopen(struct flow_director *director,
				  const struct packet_case *packet,
				  enum flow_state state)
{
	struct flow_record *record =
		flow_table_find(director->table, packet->print_low);

	if (!record)
		return flow_table_insert(director->table, packet->print_low,
					 state, packet->now_ms);
	flow_director_uncount(director, record);
	record->is_mirror = false;
	record->is_guess = false;
	record->sent_epoch = 0;
	flow_table_touch(director->table, record, state, packet->now_ms);
	return record;
}

/*
 * With no room for a record of its own a new flow may still follow the
 * default, which every node can work out again.
 */
static struct placement place_without_record(struct flow_director *director,
					     const struct packet_case *packet,
					     uint16_t target_index,
					     enum reason reason)
{
	uint32_t service_id = packet->rule->service.service_id;

	if (flow_table_embryonic_count(director->table) == 0 ||
	    reason != REASON_TABLE_DEFAULT)
		return drop(REASON_TABLE_FULL, service_id);
	return to_target(director, packet, target_index,
			 REASON_FIRST_PACKET_LIMIT);
}

static struct placement open_flow(struct flow_director *director,
				  const struct packet_case *packet,
				  const struct pool_history *history)
{
	enum reason reason;
	uint16_t target_index = flow_director_choose(
		director, history, packet->print_low, &reason);
	struct flow_record *record;

	if (target_index == TARGET_INDEX_NONE)
		return drop(reason, packet->rule->service.service_id);
	if (!flow_table_may_open(director->table))
		return place_without_record(director, packet, target_index,
					    reason);
	record = reopen(director, packet, FLOW_EMBRYONIC);
	if (!record)
		return drop(REASON_TABLE_FULL,
			    packet->rule->service.service_id);
	flow_director_count(director, record, target_index);
	/* Views differ, or the slot moves: its home must know at once. */
	if (!is_my_slot(director, packet))
		flow_director_mirror(director, record, packet->now_ms);
	return to_target(director, packet, target_index, reason);
}

/*
 * The flow's home, or whoever the packet ends with, knows nothing of the flow.
 * While the slot is fresh from another home it follows the default that this
 * one told; else the default of today, which is right unless the flow was an
 * exception whose record is lost.
 */
static struct placement resume_flow(struct flow_director *director,
				    const struct packet_case *packet,
				    const struct pool_history *history)
{
	const struct pool *pool = flow_director_base_pool(
		director, history, packet->slot_number, packet->now_ms);
	uint16_t target_index = pool_default(pool, packet->print_low);
	enum reason reason =
		pool == &history->pools[0] &&
				packet->slot->base_until_ms <= packet->now_ms
			? REASON_NO_RECORD
			: REASON_HANDOVER;
	struct flow_record *record;

	if (target_index == TARGET_INDEX_NONE)
		return drop(REASON_NO_TARGET, packet->rule->service.service_id);
	if (!is_my_slot(director, packet))
		return to_target(director, packet, target_index,
				 REASON_NO_RECORD);
	record = reopen(director, packet, FLOW_ESTABLISHED);
	if (record) {
		record->is_guess = true;
		flow_director_count(director, record, target_index);
		flow_table_touch(director->table, record,
				 next_state(record, packet->event),
				 packet->now_ms);
		flow_director_mirror(director, record, packet->now_ms);
	}
	return to_target(director, packet, target_index, reason);
}

/* A datagram without a record opens a flow unless an older one may exist. */
static bool is_new_datagram(struct flow_director *director,
			    const struct packet_case *packet,
			    const struct pool_history *history)
{
	return packet->event->key.protocol == FLOW_PROTOCOL_UDP &&
	       packet->slot->base_until_ms <= packet->now_ms &&
	       is_my_slot(director, packet);
}

/*
 * The new home asks the former one, or its mirror, about a flow that it does
 * not know: what is not known here either follows the default.
 */
static bool is_last_word(const struct packet_case *packet)
{
	return !is_opening(packet->event) &&
	       packet->event->from_node_id == packet->slot->given_to &&
	       packet->slot->pending_from == NODE_NONE;
}

static struct placement decide(struct flow_director *director,
			       const struct packet_case *packet)
{
	uint32_t service_id = packet->rule->service.service_id;
	struct pool_history *history =
		flow_director_history(director, service_id);

	if (!history || history->pool_count == 0)
		return drop(REASON_NO_TARGET, service_id);
	/* Views differ; the caller's next try may take a shorter way. */
	if (packet->event->hop_count >= HOP_LIMIT &&
	    !is_my_slot(director, packet) && !is_last_word(packet))
		return drop(REASON_HOP_LIMIT, service_id);
	if (is_opening(packet->event) ||
	    is_new_datagram(director, packet, history))
		return open_flow(director, packet, history);
	/* Another node knows this flow, but the packet has used its hops. */
	if (is_my_slot(director, packet) &&
	    packet->slot->pending_from != NODE_NONE &&
	    packet->slot->pending_from != packet->event->from_node_id &&
	    packet->slot->learned_from != packet->event->from_node_id)
		return drop(REASON_HOP_LIMIT, service_id);
	return resume_flow(director, packet, history);
}

static struct placement place(struct flow_director *director,
			      const struct packet_case *packet)
{
	struct flow_record *record =
		flow_table_find(director->table, packet->print_low);
	enum reason reason;
	uint64_t node_id;

	if (record && is_usable(director, packet, record) &&
	    (!record->is_mirror || is_mirror_asked(director, packet)))
		return use_record(director, packet, record);
	node_id = next_node(director, packet, &reason);
	if (node_id == director->self_id || node_id == NODE_NONE ||
	    packet->event->hop_count >= HOP_LIMIT)
		return decide(director, packet);
	return to_node(node_id, reason, packet->rule->service.service_id);
}

/*
 * Decides where one packet goes: to a target, to another node, or nowhere.
 * hop_count and from_node_id of the event are 0 for a packet from the fabric.
 * A packet crosses at most two nodes behind the one that received it.
 */
struct placement flow_director_packet(struct flow_director *director,
				      const struct packet_event *event,
				      int64_t now_ms)
{
	struct packet_case packet = {.event = event, .now_ms = now_ms};

	packet.print_low =
		flow_key_print(&event->key, director->options.flow_seed).low;
	flow_table_prefetch(director->table, packet.print_low);
	director->now_ms = now_ms;
	flow_director_notice_pause(director, now_ms);
	if (director->addresses)
		packet.rule = address_map_find(director->addresses,
					       &event->key.service);
	if (!packet.rule)
		return drop(REASON_NO_SERVICE, SERVICE_NONE);
	if (director->is_stale || !director->view)
		return drop(REASON_STALE_VIEW, packet.rule->service.service_id);
	packet.slot_number = home_slot(packet.print_low);
	packet.slot = &director->slots[packet.slot_number];
	packet.homes = home_map_at(director->homes, packet.slot_number);
	return place(director, &packet);
}
