#include "flood_state.h"

#define EXTERNAL_INSTANCE FLOOD_NODES_MAX
#define HOP_DELAY_MS 1
#define QUEUE_LIMIT 512
#define REQUEST_LIMIT 4096
#define CLAIM_LIFETIME_MS 10000
#define CLAIM_LEASE_MS 2000
#define BACKLOG_JOBS_PER_SLOT 1
#define PROXY_QUEUE_LIMIT 1000
#define PENDING_CLAIM_LIMIT 1024
#define NODE_ID_STEP 7919

static void deliver_event(void *context, uint32_t from, uint32_t to,
			  void *message)
{
	struct flood_fleet *fleet = context;
	struct flood_node *node = &fleet->nodes[to];
	struct flood_event *event = message;

	if (!node->is_dead && event->to_node_id == node->node_id) {
		if (event->kind == FLOOD_EVENT_ATTEMPT_ENDED)
			flood_frontend_handle_attempt_end(node, event->id,
							  event->outcome);
		flood_node_handle(node, event, driver_now_ms(fleet->driver));
	}
	flood_event_free(event);
}

/* Returns a live node's index, or FLOOD_NODES_MAX if there is none. */
uint32_t flood_fleet_node_index(const struct flood_fleet *fleet,
				uint64_t node_id)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		if (fleet->nodes[i].node_id == node_id &&
		    !fleet->nodes[i].is_dead)
			return i;
	}
	return FLOOD_NODES_MAX;
}

/* Sends an event that no node caused; drops it if its node is dead. */
void flood_fleet_send_event(struct flood_fleet *fleet,
			    struct flood_event *event)
{
	uint32_t to = flood_fleet_node_index(fleet, event->to_node_id);

	if (to == FLOOD_NODES_MAX)
		flood_event_free(event);
	else
		driver_send(fleet->driver, EXTERNAL_INSTANCE, to, event);
}

static void on_claim_send(void *context, uint64_t to_node_id,
			  const struct claim_message *message)
{
	struct flood_node *node = context;
	struct flood_fleet *fleet = node->fleet;
	uint32_t to = flood_fleet_node_index(fleet, to_node_id);
	struct flood_event *event;

	if (to == FLOOD_NODES_MAX)
		return;
	event = flood_event_new(FLOOD_EVENT_CLAIM_MESSAGE, to_node_id);
	event->from_node_id = node->node_id;
	event->message = g_memdup2(message, sizeof(*message));
	driver_send(fleet->driver, node->index, to, event);
}

static void count_result(struct flood_stats *stats, enum claim_result result)
{
	switch (result) {
	case CLAIM_GRANTED:
		stats->claims_granted++;
		break;
	case CLAIM_TAKEN:
		stats->claims_taken++;
		break;
	case CLAIM_UNKNOWN:
		stats->claims_unknown++;
		break;
	}
}

static void on_claim_result(void *context, uint64_t request_id,
			    enum claim_result result)
{
	struct flood_node *node = context;
	struct flood_event *event =
		flood_event_new(FLOOD_EVENT_CLAIM_RESULT, node->node_id);

	count_result(&node->fleet->stats, result);
	event->id = request_id;
	event->result = result;
	driver_send(node->fleet->driver, node->index, node->index, event);
}

static void start_directors(struct flood_fleet *fleet, struct flood_node *node)
{
	struct request_director_options requests = {
		.seed = fleet->options.seed * FLOOD_NODES_MAX + node->index,
		.request_limit = REQUEST_LIMIT,
		.queue_limit = QUEUE_LIMIT,
		.node_count = fleet->options.node_count,
		.callbacks = flood_frontend_callbacks(node),
	};
	struct claim_director_options claims = {
		.node_id = node->node_id,
		.capacity = UINT16_MAX,
		.round_limit = PENDING_CLAIM_LIMIT,
		.lifetime_ms = CLAIM_LIFETIME_MS,
		.lease_ms = CLAIM_LEASE_MS,
		.callbacks = {node, on_claim_send, on_claim_result},
	};

	node->requests = request_director_new(&requests);
	node->claims = claim_director_new(&claims);
	request_director_set_rules(node->requests, fleet->rules,
				   driver_now_ms(fleet->driver));
}

static void start_proxy(struct flood_fleet *fleet, struct flood_node *node)
{
	struct flood_proxy_options options = {
		.rules = fleet->rules,
		.queue_limit = PROXY_QUEUE_LIMIT,
		.target_limit =
			fleet->options.policy == FLOOD_POLICY_RETRY_ALWAYS
				? fleet->options.slot_count
				: 1,
		.is_retrying =
			fleet->options.policy == FLOOD_POLICY_RETRY_ALWAYS,
		.callbacks = flood_frontend_callbacks(node),
	};

	node->proxy = flood_proxy_new(&options);
}

/* Starts a node at an index, with a node id that was never used before. */
void flood_fleet_start_node(struct flood_fleet *fleet, uint32_t index)
{
	struct flood_node *node = &fleet->nodes[index];

	*node = (struct flood_node){
		.fleet = fleet,
		.index = index,
		.node_id = ++fleet->next_node_id * NODE_ID_STEP,
		.zone_id = 1 + index % fleet->options.zone_count,
		.live_attempts = g_hash_table_new(g_int64_hash, g_int64_equal),
	};
	if (fleet->options.policy == FLOOD_POLICY_DIRECTOR ||
	    fleet->options.policy == FLOOD_POLICY_NO_CLASSES)
		start_directors(fleet, node);
	else
		start_proxy(fleet, node);
}

/* Stops a node without notice, like a crash. */
void flood_fleet_stop_node(struct flood_fleet *fleet, uint32_t index)
{
	struct flood_node *node = &fleet->nodes[index];

	node->is_dead = true;
	flood_callers_handle_node_death(fleet, node->node_id);
	flood_frontend_drop_attempts(node);
	g_hash_table_destroy(node->live_attempts);
	node->live_attempts = NULL;
	flood_node_clear(node);
}

/* Publishes the live nodes as the next roster and sends it to each of them. */
void flood_fleet_publish_roster(struct flood_fleet *fleet)
{
	struct roster_member members[FLOOD_NODES_MAX];
	uint32_t member_count = 0;

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		if (!fleet->nodes[i].is_dead)
			members[member_count++] =
				(struct roster_member){fleet->nodes[i].node_id,
						       fleet->nodes[i].zone_id};
	}
	if (!roster_next(&fleet->roster,
			 fleet->roster.epoch ? &fleet->roster : NULL, members,
			 member_count))
		return;
	for (uint32_t i = 0; i < member_count; i++) {
		struct flood_event *event =
			flood_event_new(FLOOD_EVENT_ROSTER, members[i].node_id);

		event->roster =
			g_memdup2(&fleet->roster, sizeof(fleet->roster));
		flood_fleet_send_event(fleet, event);
	}
}

/* Sends the number of live nodes to every node. */
void flood_fleet_send_node_count(struct flood_fleet *fleet)
{
	uint32_t live_count = 0;

	for (uint32_t i = 0; i < fleet->options.node_count; i++)
		live_count += fleet->nodes[i].is_dead ? 0 : 1;
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		struct flood_event *event = flood_event_new(
			FLOOD_EVENT_NODE_COUNT, fleet->nodes[i].node_id);

		event->node_count = live_count;
		flood_fleet_send_event(fleet, event);
	}
}

/* Sends a target's state to every node, once for each of its services. */
void flood_fleet_send_target_state(struct flood_fleet *fleet, uint32_t target,
				   enum target_state state)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		for (uint32_t j = 0; j < rule_set_count(fleet->rules); j++) {
			const struct rule *rule = rule_set_at(fleet->rules, j);
			struct flood_event *event =
				flood_event_new(FLOOD_EVENT_TARGET_STATE,
						fleet->nodes[i].node_id);

			event->id = rule->targets[target].target_id;
			event->state = state;
			flood_fleet_send_event(fleet, event);
		}
	}
}

static struct rule_set *make_rules(const struct flood_options *options)
{
	struct rule_set *rules = rule_set_new(1);

	for (int i = 0; i < CLASS_COUNT; i++) {
		const char *name = work_class_name((enum work_class)i);
		GString *line = g_string_new(NULL);

		g_string_printf(line,
				"%s address=10.0.0.1:%d protocol=http "
				"class=%s pool=",
				name, 80 + i,
				options->policy == FLOOD_POLICY_NO_CLASSES
					? "normal"
					: name);
		for (uint32_t j = 0; j < options->target_count; j++)
			g_string_append_printf(line, "%s10.1.0.%u:80*%u",
					       j ? "," : "", j + 1,
					       options->slot_count);
		g_string_append(line, " # asked by the bench");
		rule_set_add(rules, rule_parse(line->str, NULL));
		g_string_free(line, TRUE);
	}
	return rules;
}

static void free_request(gpointer request)
{
	flood_request_unref(request);
}

static void free_job(gpointer job)
{
	g_free(job);
}

static void start_targets(struct flood_fleet *fleet)
{
	const struct flood_options *options = &fleet->options;

	for (uint32_t i = 0; i < options->target_count; i++) {
		fleet->targets[i].slot_count = options->slot_count;
		fleet->targets[i].backlog_limit =
			options->slot_count * BACKLOG_JOBS_PER_SLOT;
		fleet->targets[i].ignores_cancel = i % 2 == 0;
		flood_frontend_connect_target(fleet, i);
	}
}

/* Creates virtual nodes, targets and callers; free it with flood_fleet_free. */
struct flood_fleet *flood_fleet_new(const struct flood_options *options)
{
	struct flood_fleet *fleet = g_new0(struct flood_fleet, 1);
	struct driver_options driver_options = {
		.instance_count = FLOOD_NODES_MAX + 1,
		.seed = options->seed,
		.link = {.delay_ms = HOP_DELAY_MS, .jitter_ms = 0},
		.context = fleet,
		.deliver = deliver_event,
		.discard = flood_event_free,
		.duplicate = flood_event_copy,
	};

	fleet->options = *options;
	fleet->driver = driver_new(&driver_options);
	fleet->rules = make_rules(options);
	fleet->open_requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_request);
	fleet->jobs = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					    free_job, NULL);
	start_targets(fleet);
	for (uint32_t i = 0; i < options->node_count; i++)
		flood_fleet_start_node(fleet, i);
	flood_fleet_publish_roster(fleet);
	return fleet;
}

static void free_jobs(struct flood_fleet *fleet)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, fleet->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		flood_request_unref(((struct flood_job *)key)->request);
	g_hash_table_destroy(fleet->jobs);
}

/* Frees a fleet; NULL is allowed. */
void flood_fleet_free(struct flood_fleet *fleet)
{
	if (!fleet)
		return;
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		if (fleet->nodes[i].live_attempts)
			g_hash_table_destroy(fleet->nodes[i].live_attempts);
		flood_node_clear(&fleet->nodes[i]);
	}
	for (uint32_t i = 0; i < fleet->options.target_count; i++)
		flood_target_clear(&fleet->targets[i]);
	driver_free(fleet->driver);
	free_jobs(fleet);
	g_hash_table_destroy(fleet->open_requests);
	rule_set_free(fleet->rules);
	g_free(fleet);
}

/* Returns the counters of the run; they live as long as the fleet. */
const struct flood_stats *flood_fleet_stats(const struct flood_fleet *fleet)
{
	return &fleet->stats;
}
