#include "membership_state.h"

#include <math.h>

/*
 * The number of times an update is sent, per factor of ten in the number of
 * nodes.
 */
#define RETRANSMIT_MULTIPLIER 4
#define GOSSIP_FANOUT 2
#define GOSSIPS_PER_PROBE_INTERVAL 4

/* Fills in the common fields of a message and passes it to the transport. */
void membership_send(struct membership *membership, uint64_t to_node_id,
		     const struct endpoint *to, struct member_message *message)
{
	const struct membership_callbacks *callbacks =
		&membership->options.callbacks;

	message->region_id = membership->self->node.region_id;
	message->view_digest = membership->digest;
	callbacks->send(callbacks->context, to_node_id, to, message);
}

/* Queues the update about a member; it is sent a bounded number of times. */
void membership_queue_update(struct membership *membership,
			     struct member *member)
{
	uint32_t count = member_table_live_count(membership->table);

	member->sends_left =
		(uint32_t)(RETRANSMIT_MULTIPLIER * ceil(log10(count + 1)));
	membership->has_queued_updates = true;
}

/* Queues the update about a member for at least one more transmission. */
void membership_requeue_update(struct membership *membership,
			       struct member *member)
{
	member->sends_left = MAX(member->sends_left, 1);
	membership->has_queued_updates = true;
}

static bool has_higher_priority(const struct member *a, const struct member *b)
{
	if (a->sends_left != b->sends_left)
		return a->sends_left > b->sends_left;
	return a->node.node_id < b->node.node_id;
}

/*
 * Inserts a member in order of priority. If the list is full, the last member
 * is dropped.
 */
static uint32_t insert_by_priority(struct member **selected, uint32_t count,
				   uint32_t count_max, struct member *member)
{
	uint32_t position = count;

	while (position > 0 &&
	       has_higher_priority(member, selected[position - 1]))
		position--;
	if (position == count_max)
		return count;
	count = MIN(count + 1, count_max);
	for (uint32_t i = count - 1; i > position; i--)
		selected[i] = selected[i - 1];
	selected[position] = member;
	return count;
}

static uint32_t select_updates(const struct membership *membership,
			       struct member **selected, uint32_t count_max)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (member->sends_left > 0)
			count = insert_by_priority(selected, count, count_max,
						   member);
	}
	return count;
}

static void piggyback_updates(struct membership *membership,
			      struct member_message *message)
{
	struct member *selected[MEMBER_GOSSIP_UPDATES_MAX];
	uint32_t count_max = MEMBER_GOSSIP_UPDATES_MAX - message->update_count;
	uint32_t count;

	if (!membership->has_queued_updates)
		return;
	count = select_updates(membership, selected, count_max);
	membership->has_queued_updates = count > 0;
	for (uint32_t i = 0; i < count; i++) {
		message->updates[message->update_count++] =
			member_to_update(selected[i]);
		selected[i]->sends_left--;
	}
}

/*
 * Sends a message to a member with queued updates piggybacked. If the member is
 * suspect or dead, the first update reports that, so that the member can refute
 * it.
 */
void membership_send_piggybacked(struct membership *membership,
				 const struct member *to,
				 struct member_message *message)
{
	if (to->is_suspect || !member_is_live(to))
		message->updates[message->update_count++] =
			member_to_update(to);
	piggyback_updates(membership, message);
	membership_send(membership, to->node.node_id, &to->node.control,
			message);
}

static bool is_gossip_peer(const void *context, const struct member *member)
{
	return member != context && member_is_live(member) &&
	       !member->is_suspect;
}

/* Gossips queued updates to GOSSIP_FANOUT random members. */
void membership_gossip(struct membership *membership, int64_t now_ms)
{
	struct member_filter filter = {membership->self, is_gossip_peer};
	struct member *peers[GOSSIP_FANOUT];
	uint32_t count;

	if (now_ms < membership->next_gossip_ms ||
	    !membership->has_queued_updates)
		return;
	membership->next_gossip_ms =
		now_ms + membership->options.probe_interval_ms /
				 GOSSIPS_PER_PROBE_INTERVAL;
	count = member_table_sample(membership->table, membership->rand,
				    &filter, peers, GOSSIP_FANOUT);
	for (uint32_t i = 0; i < count; i++) {
		struct member_message message = {.kind = MEMBER_GOSSIP};

		piggyback_updates(membership, &message);
		if (message.update_count == 0)
			return;
		membership_send(membership, peers[i]->node.node_id,
				&peers[i]->node.control, &message);
	}
}
