#include "membership_state.h"

#define PROBE_INTERVAL_DEFAULT_MS 1000
#define JOINING_DEFAULT_MS 2000
#define ZONE_PARTITION_TIMEOUT_DEFAULT_MS (10 * 60 * 1000)
#define DEAD_RETENTION_DEFAULT_MS (10 * 60 * 1000)
#define PAUSE_THRESHOLD_DEFAULT_INTERVALS 2

static uint32_t value_or_default(uint32_t value, uint32_t default_value)
{
	return value > 0 ? value : default_value;
}

static struct membership_options
apply_defaults(const struct membership_options *given)
{
	struct membership_options options = *given;

	options.probe_interval_ms = value_or_default(given->probe_interval_ms,
						     PROBE_INTERVAL_DEFAULT_MS);
	options.joining_ms =
		value_or_default(given->joining_ms, JOINING_DEFAULT_MS);
	options.zone_partition_timeout_ms =
		value_or_default(given->zone_partition_timeout_ms,
				 ZONE_PARTITION_TIMEOUT_DEFAULT_MS);
	options.dead_retention_ms = value_or_default(given->dead_retention_ms,
						     DEAD_RETENTION_DEFAULT_MS);
	options.pause_threshold_ms = value_or_default(
		given->pause_threshold_ms,
		PAUSE_THRESHOLD_DEFAULT_INTERVALS * options.probe_interval_ms);
	options.self.incarnation = MAX(given->self.incarnation, 1);
	options.self.state = given->is_standalone ? NODE_SERVING : NODE_JOINING;
	return options;
}

static void start(struct membership *membership, int64_t now_ms)
{
	uint32_t interval_ms = membership->options.probe_interval_ms;

	membership->last_tick_ms = now_ms;
	/*
	 * A random offset keeps nodes that start together from probing in step.
	 */
	membership->next_probe_ms =
		now_ms +
		g_rand_int_range(membership->rand, 0, (gint32)interval_ms);
	membership->next_gossip_ms = now_ms;
	membership->next_seed_sync_ms = now_ms + interval_ms;
	membership_enter_phase(membership,
			       membership->options.is_standalone ? SELF_SERVING
								 : SELF_SYNCING,
			       now_ms);
}

/*
 * Creates the membership of a joining node; the view holds only this node until
 * others reply. Free it with membership_free.
 */
struct membership *membership_new(const struct membership_options *options,
				  int64_t now_ms)
{
	struct membership *membership = g_new0(struct membership, 1);

	membership->options = apply_defaults(options);
	membership->rand = g_rand_new_with_seed(
		(guint32)(options->seed ^ options->self.node_id));
	membership->table = member_table_new();
	membership->probes = probe_list_new();
	membership->zones =
		zone_watch_new(membership->options.zone_partition_timeout_ms);
	membership->seed_endpoints =
		g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	membership->probe_order = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	membership->self =
		member_table_add(membership->table, &membership->options.self);
	membership->digest = member_table_digest(membership->table);
	start(membership, now_ms);
	membership_publish_view(membership);
	return membership;
}

/* Frees a membership; NULL is allowed. */
void membership_free(struct membership *membership)
{
	if (!membership)
		return;
	g_rand_free(membership->rand);
	member_table_free(membership->table);
	probe_list_free(membership->probes);
	zone_watch_free(membership->zones);
	g_array_free(membership->seed_endpoints, TRUE);
	g_array_free(membership->probe_order, TRUE);
	node_view_free(membership->view);
	g_free(membership);
}

/*
 * Replaces the seed addresses, which come from the settings and the store. The
 * node at a seed address is not a member until an update about it arrives.
 */
void membership_set_seeds(struct membership *membership,
			  const struct endpoint *endpoints, uint32_t count)
{
	g_array_set_size(membership->seed_endpoints, 0);
	g_array_append_vals(membership->seed_endpoints, endpoints, count);
}

static void update_digest(struct membership *membership, int64_t now_ms)
{
	uint64_t digest;

	if (!membership->is_digest_stale)
		return;
	membership->is_digest_stale = false;
	digest = member_table_digest(membership->table);
	if (digest == membership->digest)
		return;
	membership->digest = digest;
	membership->digest_changed_ms = now_ms;
}

static void merge_updates(struct membership *membership, uint64_t from_node_id,
			  const struct member_message *message, int64_t now_ms)
{
	bool is_joining = membership->phase == SELF_SYNCING ||
			  membership->phase == SELF_SETTLING;

	for (uint32_t i = 0; i < message->update_count; i++) {
		const struct member_update *update = &message->updates[i];
		struct member *member;

		membership_merge(membership, from_node_id, update, now_ms);
		if (message->kind != MEMBER_SYNC_PAGE || !is_joining)
			continue;
		/*
		 * A joining node does not gossip what it learns from a sync
		 * page: the others know it already.
		 */
		member = member_table_find(membership->table,
					   update->node.node_id);
		if (member && member != membership->self)
			member->sends_left = 0;
	}
	update_digest(membership, now_ms);
}

static void handle_message(struct membership *membership, uint64_t from_node_id,
			   const struct endpoint *from,
			   const struct member_message *message, int64_t now_ms)
{
	switch (message->kind) {
	case MEMBER_PROBE:
		membership_handle_probe(membership, from_node_id, from,
					message);
		return;
	case MEMBER_ACK:
		membership_handle_ack(membership, from_node_id, message,
				      now_ms);
		return;
	case MEMBER_PROBE_REQUEST:
		membership_handle_probe_request(membership, from_node_id,
						message, now_ms);
		return;
	case MEMBER_SYNC_REQUEST:
		membership_handle_sync_request(membership, from_node_id, from);
		return;
	case MEMBER_SYNC_PAGE:
		membership_handle_sync_page(membership, now_ms);
		return;
	case MEMBER_GOSSIP:
	case MEMBER_MESSAGE_KIND_COUNT:
		return;
	}
}

static void update_last_heard(struct membership *membership, uint64_t node_id,
			      int64_t now_ms)
{
	struct member *member = member_table_find(membership->table, node_id);

	if (member)
		member->last_heard_ms = now_ms;
}

/*
 * Handles an authenticated message. Drops messages from other regions and this
 * node's own messages.
 */
void membership_receive(struct membership *membership, uint64_t from_node_id,
			const struct endpoint *from,
			const struct member_message *message, int64_t now_ms)
{
	const struct node *self = &membership->self->node;

	if (membership->phase == SELF_STOPPED ||
	    message->region_id != self->region_id ||
	    from_node_id == self->node_id)
		return;
	membership_detect_pause(membership, now_ms);
	update_last_heard(membership, from_node_id, now_ms);
	merge_updates(membership, from_node_id, message, now_ms);
	handle_message(membership, from_node_id, from, message, now_ms);
	membership_handle_digest(membership, from_node_id, from,
				 message->view_digest, now_ms);
}

/*
 * Handles all timeouts and periodic work; must be called every
 * MEMBERSHIP_TICK_MS.
 */
void membership_tick(struct membership *membership, int64_t now_ms)
{
	if (membership->phase == SELF_STOPPED)
		return;
	membership_detect_pause(membership, now_ms);
	membership_suspicion_tick(membership, now_ms);
	membership_self_tick(membership, now_ms);
	update_digest(membership, now_ms);
	membership_probe_tick(membership, now_ms);
	membership_gossip(membership, now_ms);
	membership_seed_tick(membership, now_ms);
	update_digest(membership, now_ms);
	membership_publish_view(membership);
}

static void announce_departure(struct membership *membership,
			       enum node_state state, int64_t now_ms)
{
	struct member *self = membership->self;

	self->is_unverified = false;
	self->node.state = state;
	self->last_accuser_id = self->node.node_id;
	membership_mark_changed(membership);
	membership_queue_update(membership, self);
	update_digest(membership, now_ms);
	membership->next_gossip_ms = now_ms;
	membership_gossip(membership, now_ms);
}

/*
 * Keeps a joining node from serving until it has rules and the state of the
 * flows that it takes over.
 */
void membership_defer_serving(struct membership *membership, bool is_deferred)
{
	membership->is_serving_deferred = is_deferred;
}

/*
 * Announces that this node accepts no new work; it still replies to other
 * nodes.
 */
void membership_leave(struct membership *membership, int64_t now_ms)
{
	membership_enter_phase(membership, SELF_LEAVING, now_ms);
	announce_departure(membership, NODE_LEAVING, now_ms);
	membership_publish_view(membership);
}

/* Announces that this node has left, and stops all activity. */
void membership_stop(struct membership *membership, int64_t now_ms)
{
	announce_departure(membership, NODE_DEAD, now_ms);
	membership->phase = SELF_STOPPED;
	membership_publish_view(membership);
}

/* Returns this node's view, valid until the next call. */
const struct node_view *membership_view(const struct membership *membership)
{
	return membership->view;
}
