#include "membership_state.h"

/*
 * In probe intervals: the minimum time between two requests because of a
 * differing digest, the time between two requests to a seed address, and how
 * long this node's digest must be unchanged before it is compared.
 */
#define SYNC_INTERVALS 10
#define SEED_SYNC_INTERVALS 30
#define STABLE_INTERVALS 2

/*
 * Requests the complete view of a node. The request describes this node, so
 * that the receiver adds it as a member.
 */
void membership_request_sync(struct membership *membership, uint64_t to_node_id,
			     const struct endpoint *to)
{
	struct member_message message = {.kind = MEMBER_SYNC_REQUEST,
					 .update_count = 1};

	message.updates[0] = member_to_full_update(membership->self);
	membership_send(membership, to_node_id, to, &message);
}

/* A page that is being filled; it is sent when it is full. */
struct page_writer {
	struct membership *membership;
	uint64_t to_node_id;
	const struct endpoint *to;
	struct member_message message;
};

static void send_page(struct page_writer *writer)
{
	membership_send(writer->membership, writer->to_node_id, writer->to,
			&writer->message);
	writer->message.page_index++;
	writer->message.update_count = 0;
}

static void add_to_page(struct page_writer *writer,
			const struct member_update *update)
{
	struct member_message *message = &writer->message;

	if (message->update_count == MEMBER_PAGE_UPDATES_MAX)
		send_page(writer);
	message->updates[message->update_count++] = *update;
}

static uint32_t count_updates(const struct member_table *table)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < member_table_count(table); i++)
		count += 1 + member_table_at(table, i)->is_suspect;
	return count;
}

static void add_member_updates(struct page_writer *writer,
			       const struct member *member)
{
	struct member_update full = member_to_full_update(member);
	struct member_update status = member_to_update(member);

	if (member_is_live(member))
		add_to_page(writer, &full);
	if (!member_is_live(member) || member->is_suspect)
		add_to_page(writer, &status);
}

/* Sends the complete view, in as many pages as needed. */
void membership_handle_sync_request(struct membership *membership,
				    uint64_t from_node_id,
				    const struct endpoint *from)
{
	struct member_table *table = membership->table;
	struct page_writer writer = {
		.membership = membership,
		.to_node_id = from_node_id,
		.to = from,
		.message = {.kind = MEMBER_SYNC_PAGE},
	};
	uint32_t count = count_updates(table);

	if (membership->phase == SELF_VERIFYING)
		return;
	writer.message.page_count =
		(count + MEMBER_PAGE_UPDATES_MAX - 1) / MEMBER_PAGE_UPDATES_MAX;
	for (uint32_t i = 0; i < member_table_count(table); i++)
		add_member_updates(&writer, member_table_at(table, i));
	if (writer.message.update_count > 0)
		send_page(&writer);
}

/*
 * Requests the complete view of a node whose digest differs. While updates
 * propagate, digests differ all the time, so this waits until this node's
 * digest has been stable for STABLE_INTERVALS.
 */
void membership_handle_digest(struct membership *membership,
			      uint64_t from_node_id,
			      const struct endpoint *from, uint64_t digest,
			      int64_t now_ms)
{
	uint32_t interval_ms = membership->options.probe_interval_ms;

	if (digest == membership->digest || now_ms < membership->next_sync_ms ||
	    now_ms - membership->digest_changed_ms <
		    (int64_t)STABLE_INTERVALS * interval_ms)
		return;
	membership->next_sync_ms =
		now_ms + (int64_t)SYNC_INTERVALS * interval_ms;
	membership_request_sync(membership, from_node_id, from);
}

static bool is_live_member_address(const struct membership *membership,
				   const struct endpoint *endpoint)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		const struct member *member =
			member_table_at(membership->table, i);

		if (member_is_live(member) &&
		    endpoint_equal(&member->node.control, endpoint))
			return true;
	}
	return false;
}

/*
 * Requests the view from one random seed address that is not a known live
 * member.
 */
void membership_sync_with_seed(struct membership *membership)
{
	guint count = membership->seed_endpoints->len;
	guint first;

	if (count == 0)
		return;
	first = (guint)g_rand_int_range(membership->rand, 0, (gint32)count);
	for (guint i = 0; i < count; i++) {
		const struct endpoint *seed_endpoint =
			&g_array_index(membership->seed_endpoints,
				       struct endpoint, (first + i) % count);

		if (is_live_member_address(membership, seed_endpoint))
			continue;
		membership_request_sync(membership, NODE_NONE, seed_endpoint);
		return;
	}
}

/*
 * Requests the view from a seed address every SEED_SYNC_INTERVALS, to find
 * members that were unknown or declared dead because of a partition.
 */
void membership_seed_tick(struct membership *membership, int64_t now_ms)
{
	if (now_ms < membership->next_seed_sync_ms)
		return;
	membership->next_seed_sync_ms =
		now_ms + (int64_t)SEED_SYNC_INTERVALS *
				 membership->options.probe_interval_ms;
	membership_sync_with_seed(membership);
}
