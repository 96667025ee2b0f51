#include "flow_director_state.h"

#define PAUSE_THRESHOLD_MS 3000
/* A paused node learns within this time if it was declared dead. */
#define STALE_TIMEOUT_MS (10 * 1000)
/* How long a leaving node stays, so that other nodes learn that it leaves. */
#define LEAVE_GRACE_MS 5000
#define CHECK_INTERVAL_MS 1000
#define PENDING_HANDOVER_TIMEOUT_MS (60 * 1000)

static void free_histories(struct flow_director *director)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->histories);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_history_free(value, director->known_targets);
	g_hash_table_destroy(director->histories);
}

static struct flow_outbox *make_outbox(struct flow_director *director)
{
	struct flow_outbox_options options = {
		.bytes_per_s = director->options.control_bytes_per_s,
		.context = director->options.callbacks.context,
		.send = director->options.callbacks.send,
		.acked_context = director,
		.on_message_acked = flow_director_handle_message_acked,
	};

	return flow_outbox_new(&options);
}

/*
 * Creates a director. Until it has rules and a node view it drops all packets.
 * The context of the callbacks must outlive it. Call flow_director_tick about
 * every 100 ms. Free the director with flow_director_free.
 */
struct flow_director *
flow_director_new(const struct flow_director_options *options)
{
	struct flow_director *director = g_new0(struct flow_director, 1);

	director->options = *options;
	director->table = flow_table_new(options->flow_capacity);
	director->known_targets = target_table_new();
	director->histories = g_hash_table_new(g_direct_hash, g_direct_equal);
	director->prepared_revisions = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	director->outbox = make_outbox(director);
	director->pool_receivers = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	director->slots = g_new0(struct director_slot, HOME_SLOT_COUNT);
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++)
		director->slots[i].epoch = 1;
	director->incoming_pool_targets =
		g_array_new(FALSE, FALSE, sizeof(struct target));
	return director;
}

/* Frees the director and its records; NULL is allowed. */
void flow_director_free(struct flow_director *director)
{
	if (!director)
		return;
	free_histories(director);
	g_hash_table_destroy(director->pool_receivers);
	flow_outbox_free(director->outbox);
	g_hash_table_destroy(director->prepared_revisions);
	flow_table_free(director->table);
	target_table_free(director->known_targets);
	address_map_free(director->addresses);
	rule_set_free(director->rules);
	node_view_free(director->view);
	home_map_free(director->homes);
	g_array_free(director->incoming_pool_targets, TRUE);
	g_free(director->slots);
	g_free(director);
}

/* Returns the pools of a service, or NULL. */
struct pool_history *
flow_director_find_history(const struct flow_director *director,
			   uint32_t service_id)
{
	return g_hash_table_lookup(director->histories,
				   GUINT_TO_POINTER(service_id));
}

static struct pool_history *
get_or_create_history(struct flow_director *director, uint32_t service_id)
{
	struct pool_history *history =
		flow_director_find_history(director, service_id);

	if (history)
		return history;
	history = pool_history_new(service_id);
	g_hash_table_insert(director->histories, GUINT_TO_POINTER(service_id),
			    history);
	return history;
}

static void apply_rule(struct flow_director *director, const struct rule *rule,
		       int64_t now_ms)
{
	struct pool_history *history =
		get_or_create_history(director, rule->service.service_id);
	uint64_t generation =
		rule->generation ? rule->generation : director->revision;

	pool_history_add(history, director->known_targets, generation,
			 rule->targets, rule->target_count, now_ms);
}

static void remove_unused_histories(struct flow_director *director)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->histories);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_history *history = value;

		if (history->flow_count > 0 ||
		    rule_set_by_id(director->rules, history->service_id))
			continue;
		pool_history_free(history, director->known_targets);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Applies a rule set; the director keeps a copy. Rules with a lower revision
 * than the current ones are ignored, so that a delayed message does not revert
 * newer rules.
 * Existing flows keep their targets when the pool changes.
 */
void flow_director_set_rules(struct flow_director *director,
			     const struct rule_set *rules, int64_t now_ms)
{
	if (director->rules && rule_set_revision(rules) < director->revision)
		return;
	if (now_ms - director->rules_changed_ms >= CONFIG_SKEW_MAX_MS ||
	    director->earlier_revision == 0)
		director->earlier_revision = director->revision;
	director->rules_changed_ms = now_ms;
	address_map_free(director->addresses);
	rule_set_free(director->rules);
	director->rules = rule_set_copy(rules);
	director->addresses = address_map_new(director->rules);
	director->revision = rule_set_revision(rules);
	for (uint32_t i = 0; i < rule_set_count(director->rules); i++)
		apply_rule(director, rule_set_at(director->rules, i), now_ms);
	remove_unused_histories(director);
	target_table_set_rules(director->known_targets, director->rules);
	flow_director_resend_pools(director, now_ms);
	flow_director_start_pass(director);
}

/* Sets the state of a target; an unknown target is ignored. */
void flow_director_set_target_state(struct flow_director *director,
				    uint64_t target_id, enum target_state state,
				    int64_t now_ms)
{
	uint16_t index = target_table_find(director->known_targets, target_id);

	if (index != TARGET_INDEX_NONE)
		target_table_at(director->known_targets, index)->target.state =
			state;
}

/* Assigns a record to a target and counts it as load of that target. */
void flow_director_add_load(struct flow_director *director,
			    struct flow_record *record, uint16_t target_index)
{
	struct target_record *known_target =
		target_table_at(director->known_targets, target_index);
	struct pool_history *history = flow_director_find_history(
		director, known_target->target.service_id);

	record->target_index = target_index;
	known_target->ref_count++;
	if (record->is_mirror)
		return;
	known_target->flow_count++;
	if (history)
		history->flow_count++;
}

/* Reverts flow_director_add_load. */
void flow_director_remove_load(struct flow_director *director,
			       const struct flow_record *record)
{
	struct target_record *known_target =
		target_table_at(director->known_targets, record->target_index);
	struct pool_history *history = flow_director_find_history(
		director, known_target->target.service_id);

	known_target->ref_count--;
	if (record->is_mirror)
		return;
	known_target->flow_count--;
	if (history && history->flow_count > 0)
		history->flow_count--;
}

static enum sweep_action discard_record(void *context,
					struct flow_record *record)
{
	flow_director_remove_load(context, record);
	return SWEEP_REMOVE;
}

/* Removes all flow records, as after the node was declared dead. */
void flow_director_clear_flows(struct flow_director *director)
{
	flow_table_sweep(director->table,
			 flow_table_bucket_count(director->table), director,
			 discard_record);
}

/*
 * Detects that the process did not run for PAUSE_THRESHOLD_MS. Meanwhile the
 * other nodes may have declared this node dead and taken over its flows.
 */
void flow_director_detect_pause(struct flow_director *director, int64_t now_ms)
{
	bool has_paused = director->last_event_ms > 0 &&
			  now_ms - director->last_event_ms > PAUSE_THRESHOLD_MS;

	director->last_event_ms = now_ms;
	if (has_paused && director->view &&
	    node_view_count(director->view) > 1) {
		director->is_stale = true;
		director->stale_since_ms = now_ms;
	}
	if (now_ms - director->stale_since_ms > STALE_TIMEOUT_MS)
		director->is_stale = false;
}

/*
 * Returns whether the node can start to serve: it has rules and a view, and no
 * slot waits for records from another node.
 */
bool flow_director_is_ready(const struct flow_director *director)
{
	if (!director->rules || !director->view || director->is_stale)
		return false;
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		if (director->slots[i].pending_from != NODE_NONE)
			return false;
	}
	return true;
}

/* Returns the number of flow records on this node. */
uint32_t flow_director_flow_count(const struct flow_director *director)
{
	return flow_table_count(director->table);
}

/* Returns the memory used by the flow table and the slots. */
uint64_t flow_director_size_bytes(const struct flow_director *director)
{
	return flow_table_size_bytes(director->table) +
	       HOME_SLOT_COUNT * (sizeof(struct director_slot) +
				  sizeof(struct slot_homes));
}

/* Returns the number of messages that are queued but not yet sent. */
uint32_t flow_director_queued_count(const struct flow_director *director)
{
	return flow_outbox_queued_count(director->outbox);
}

/* Returns the number of message bytes sent to other nodes since start. */
uint64_t flow_director_sent_bytes(const struct flow_director *director)
{
	return flow_outbox_sent_bytes(director->outbox);
}

/*
 * Returns whether a leaving node may stop: all handovers were acknowledged and
 * the other nodes have had time to learn that it is leaving.
 */
bool flow_director_may_stop(const struct flow_director *director)
{
	return director->may_stop;
}

static void expire_pending_handovers(struct flow_director *director,
				     int64_t now_ms)
{
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		struct director_slot *slot = &director->slots[i];

		if (slot->pending_from != NODE_NONE &&
		    now_ms - slot->pending_since_ms >
			    PENDING_HANDOVER_TIMEOUT_MS)
			slot->pending_from = NODE_NONE;
	}
}

static bool are_handovers_acked(const struct flow_director *director)
{
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		const struct director_slot *slot = &director->slots[i];

		if (slot->handover_to != NODE_NONE &&
		    slot->handover != HANDOVER_ACKED)
			return false;
	}
	return true;
}

static void expire_pools(struct flow_director *director, int64_t now_ms)
{
	int64_t before_ms = now_ms - flow_state_timeout_ms(FLOW_ESTABLISHED);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->histories);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_history_expire(value, director->known_targets, before_ms);
}

/* Resends all exceptions to their mirrors before the copies there expire. */
static void refresh_mirrors(struct flow_director *director, int64_t now_ms)
{
	if (now_ms - director->last_mirror_refresh_ms <
	    (int64_t)flow_state_timeout_ms(FLOW_ESTABLISHED) / 2)
		return;
	director->last_mirror_refresh_ms = now_ms;
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		struct director_slot *slot = &director->slots[i];

		if (slot->handover_to != NODE_NONE)
			continue;
		slot->epoch = slot->epoch == UINT8_MAX ? 1 : slot->epoch + 1;
	}
	flow_director_start_pass(director);
}

static void run_periodic_checks(struct flow_director *director, int64_t now_ms)
{
	if (now_ms - director->last_check_ms < CHECK_INTERVAL_MS)
		return;
	director->last_check_ms = now_ms;
	expire_pending_handovers(director, now_ms);
	expire_pools(director, now_ms);
	refresh_mirrors(director, now_ms);
	if (director->is_leaving && !director->may_stop)
		director->may_stop =
			now_ms - director->leave_started_ms >= LEAVE_GRACE_MS &&
			are_handovers_acked(director);
}

/* Runs periodic work; must be called about every 100 ms. */
void flow_director_tick(struct flow_director *director, int64_t now_ms)
{
	director->now_ms = now_ms;
	flow_director_detect_pause(director, now_ms);
	if (director->is_stale || !director->view)
		return;
	flow_director_sweep(director, now_ms);
	flow_outbox_tick(director->outbox, now_ms);
	run_periodic_checks(director, now_ms);
}
