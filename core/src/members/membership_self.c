#include "membership_state.h"

#define REQUESTS_PER_PROBE_INTERVAL 2
/* Timeouts of the phases, in probe intervals. */
#define SYNC_TIMEOUT_INTERVALS 5
#define VERIFY_TIMEOUT_INTERVALS 3
#define VERIFY_PEER_COUNT 3

/*
 * Enters a phase and marks the view as changed; membership_publish_view
 * publishes it.
 */
void membership_enter_phase(struct membership *membership,
			    enum self_phase phase, int64_t now_ms)
{
	membership->phase = phase;
	membership->phase_since_ms = now_ms;
	membership->next_request_ms = now_ms;
	membership->self->is_unverified = phase == SELF_VERIFYING;
	membership_mark_changed(membership);
}

/* Publishes a new view if something in it has changed. */
void membership_publish_view(struct membership *membership)
{
	const struct membership_callbacks *callbacks =
		&membership->options.callbacks;

	if (!membership->is_view_stale)
		return;
	membership->is_view_stale = false;
	node_view_free(membership->view);
	membership->view = member_table_view(membership->table,
					     membership->self->node.node_id,
					     ++membership->view_version);
	callbacks->view_changed(callbacks->context, membership->view);
}

static void announce_state(struct membership *membership, enum node_state state)
{
	membership->self->node.state = state;
	membership_mark_changed(membership);
	membership_queue_update(membership, membership->self);
}

/*
 * Rejoins after other nodes declared this node dead. First publishes a view in
 * which it is dead, so that users of the view drop the state that other nodes
 * have taken over; then joins in a higher incarnation.
 */
static void rejoin(struct membership *membership, uint32_t incarnation,
		   int64_t now_ms)
{
	struct member *self = membership->self;

	membership_emit_event(membership, MEMBER_EVENT_DECLARED_DEAD,
			      &self->node);
	self->is_unverified = false;
	self->node.state = NODE_DEAD;
	membership_mark_changed(membership);
	membership_publish_view(membership);
	self->node.incarnation = MAX(incarnation, self->node.incarnation) + 1;
	announce_state(membership, NODE_JOINING);
	membership_enter_phase(membership, SELF_SYNCING, now_ms);
	membership_publish_view(membership);
}

static void refute(struct membership *membership, uint32_t incarnation)
{
	struct member *self = membership->self;

	self->node.incarnation = incarnation + 1;
	announce_state(membership, self->node.state);
}

static bool is_outdated(const struct membership *membership,
			const struct member_update *update)
{
	const struct node *node = &update->node;

	if (membership->phase == SELF_VERIFYING && node->state == NODE_DEAD &&
	    node->incarnation == 0)
		return false;
	return node->incarnation < membership->self->node.incarnation;
}

/*
 * Handles an update about this node from another one, and refutes it if needed.
 */
void membership_handle_self_update(struct membership *membership,
				   const struct member_update *update,
				   int64_t now_ms)
{
	const struct node *node = &update->node;

	if (membership->phase == SELF_STOPPED ||
	    is_outdated(membership, update))
		return;
	if (member_update_is_full(update)) {
		if (node->incarnation > membership->self->node.incarnation)
			refute(membership, node->incarnation);
		return;
	}
	if (node->state == NODE_DEAD && membership->phase != SELF_LEAVING)
		rejoin(membership, node->incarnation, now_ms);
	else if (membership->phase == SELF_VERIFYING)
		membership->accused_incarnation = node->incarnation;
	else
		refute(membership, node->incarnation);
}

/*
 * Ends the first phase of joining when a page of another node's view arrives.
 */
void membership_handle_sync_page(struct membership *membership, int64_t now_ms)
{
	if (membership->phase == SELF_SYNCING)
		membership_enter_phase(membership, SELF_SETTLING, now_ms);
}

/*
 * Ends a verification in which no peer reported this node dead. A suspicion is
 * refuted only now: refuting it earlier could have revived a node that others
 * had declared dead.
 */
static void finish_verification(struct membership *membership, int64_t now_ms)
{
	membership_enter_phase(membership, SELF_SERVING, now_ms);
	if (membership->accused_incarnation >=
	    membership->self->node.incarnation)
		refute(membership, membership->accused_incarnation);
}

/*
 * Ends a verification when a peer acknowledged a probe without reporting this
 * node dead.
 */
void membership_confirm_alive(struct membership *membership, int64_t now_ms)
{
	if (membership->phase == SELF_VERIFYING)
		finish_verification(membership, now_ms);
}

static bool is_peer(const void *context, const struct member *member)
{
	return member != context && member_is_live(member);
}

static void probe_peers(struct membership *membership, int64_t now_ms)
{
	struct member_filter filter = {membership->self, is_peer};
	struct member *peers[VERIFY_PEER_COUNT];
	uint32_t count =
		member_table_sample(membership->table, membership->rand,
				    &filter, peers, VERIFY_PEER_COUNT);

	probe_list_clear(membership->probes);
	for (uint32_t i = 0; i < count; i++)
		membership_probe(membership, peers[i], now_ms);
}

static void request_sync_from_peer(struct membership *membership)
{
	struct member_filter filter = {membership->self, is_peer};
	struct member *peer;

	if (member_table_sample(membership->table, membership->rand, &filter,
				&peer, 1) == 1)
		membership_request_sync(membership, peer->node.node_id,
					&peer->node.control);
	membership_sync_with_seed(membership);
}

static bool is_request_due(struct membership *membership, int64_t now_ms)
{
	if (now_ms < membership->next_request_ms)
		return false;
	membership->next_request_ms =
		now_ms + membership->options.probe_interval_ms /
				 REQUESTS_PER_PROBE_INTERVAL;
	return true;
}

/*
 * Returns whether the phase has lasted interval_count probe intervals. A node
 * that finds no peers in that time proceeds without them: it may be the first
 * node, or cut off from all others.
 */
static bool is_timed_out(const struct membership *membership,
			 uint32_t interval_count, int64_t now_ms)
{
	return now_ms - membership->phase_since_ms >=
	       (int64_t)interval_count * membership->options.probe_interval_ms;
}

static bool is_settling(const struct membership *membership, int64_t now_ms)
{
	int64_t waited_ms = now_ms - membership->phase_since_ms;

	if (waited_ms < membership->options.joining_ms)
		return true;
	return membership->is_serving_deferred;
}

/* Advances this node from joining to serving, or through a verification. */
void membership_self_tick(struct membership *membership, int64_t now_ms)
{
	switch (membership->phase) {
	case SELF_SYNCING:
		if (is_timed_out(membership, SYNC_TIMEOUT_INTERVALS, now_ms))
			membership_enter_phase(membership, SELF_SETTLING,
					       now_ms);
		else if (is_request_due(membership, now_ms))
			request_sync_from_peer(membership);
		return;
	case SELF_SETTLING:
		if (is_settling(membership, now_ms))
			return;
		announce_state(membership, NODE_SERVING);
		membership_emit_event(membership, MEMBER_EVENT_SERVING,
				      &membership->self->node);
		membership_enter_phase(membership, SELF_SERVING, now_ms);
		return;
	case SELF_VERIFYING:
		if (is_timed_out(membership, VERIFY_TIMEOUT_INTERVALS, now_ms))
			finish_verification(membership, now_ms);
		else if (is_request_due(membership, now_ms))
			probe_peers(membership, now_ms);
		return;
	case SELF_SERVING:
	case SELF_LEAVING:
	case SELF_STOPPED:
		return;
	}
}

/*
 * Restarts all timeouts of other nodes: the time that this node was paused says
 * nothing about them.
 */
static void reset_failure_detection(struct membership *membership,
				    int64_t now_ms)
{
	probe_list_clear(membership->probes);
	zone_watch_restart_timeouts(membership->zones, now_ms);
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (member->is_suspect)
			suspicion_start(&member->suspicion, now_ms);
	}
}

/* The phase after a pause, by the phase before it. */
static const enum self_phase resume_phases[] = {
	[SELF_SYNCING] = SELF_SYNCING,	 [SELF_SETTLING] = SELF_SYNCING,
	[SELF_SERVING] = SELF_VERIFYING, [SELF_VERIFYING] = SELF_VERIFYING,
	[SELF_LEAVING] = SELF_LEAVING,	 [SELF_STOPPED] = SELF_STOPPED,
};

static void handle_pause(struct membership *membership, int64_t now_ms)
{
	enum self_phase phase = resume_phases[membership->phase];

	membership_emit_event(membership, MEMBER_EVENT_WOKE,
			      &membership->self->node);
	membership_enter_phase(membership, phase, now_ms);
	if (phase == SELF_SYNCING) {
		membership->self->node.incarnation++;
		announce_state(membership, NODE_JOINING);
	}
	membership_publish_view(membership);
}

/*
 * Detects that this node was paused. A serving node then shows itself as
 * joining until it has verified its state with its peers; a joining node starts
 * over in a higher incarnation.
 */
void membership_detect_pause(struct membership *membership, int64_t now_ms)
{
	int64_t gap_ms = now_ms - membership->last_tick_ms;

	membership->last_tick_ms = now_ms;
	if (gap_ms < membership->options.probe_interval_ms)
		return;
	reset_failure_detection(membership, now_ms);
	if (gap_ms >= membership->options.pause_threshold_ms)
		handle_pause(membership, now_ms);
}
