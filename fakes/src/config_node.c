#include "config_fleet_state.h"

#include <core/node_feature.h>

#define TICK_MS 200

static void node_send(void *context, uint64_t node_id,
		      struct config_message *message)
{
	struct config_node *node = context;

	node->fleet->results.message_count++;
	driver_send(node->fleet->driver, node->index, (uint32_t)node_id - 1,
		    message);
}

static void node_read_store(void *context)
{
	struct config_node *node = context;

	if (!node->fleet->is_store_up || node->is_store_cut)
		return;
	node->fleet->results.store_read_count++;
	config_fleet_send_document(node->fleet, node->index);
}

static void node_watch_store(void *context, bool is_wanted)
{
	struct config_node *node = context;

	node->is_watching = is_wanted;
}

static void node_repair_store(void *context)
{
	struct config_node *node = context;
	struct config_fleet *fleet = node->fleet;
	struct rules_document *joined;

	if (!fleet->is_store_up)
		return;
	joined = rules_document_copy(fleet->store);
	rules_document_join(joined, rules_replica_document(rules_gossip_replica(
					    node->gossip)));
	config_fleet_write_store(fleet, joined, fleet->mod_revision, false);
	rules_document_free(joined);
}

static void check_generation(struct config_node *node, const struct rule *rule)
{
	gpointer key = GUINT_TO_POINTER(rule->service.service_id);
	uint64_t *last_generations =
		g_hash_table_lookup(node->last_generations, key);

	if (last_generations && rule->generation < *last_generations)
		node->fleet->results.revert_count++;
	g_hash_table_insert(
		node->last_generations, key,
		g_memdup2(&rule->generation, sizeof(rule->generation)));
}

static void node_rules_changed(void *context, const struct rule_set *rules)
{
	struct config_node *node = context;
	uint64_t revision = rule_set_revision(rules);

	for (uint32_t i = 0; i < rule_set_count(rules); i++)
		check_generation(node, rule_set_at(rules, i));
	if (revision < node->revision)
		node->fleet->results.revert_count++;
	config_propagation_advance(node->fleet->propagation, node->revision,
				   revision, config_fleet_now_ms(node->fleet));
	node->revision = revision;
}

static void node_report_zone(void *context)
{
	struct config_node *node = context;

	node->fleet->results.report_count++;
}

static void node_roster_changed(void *context, const struct roster *roster)
{
}

static void on_tick(void *context)
{
	struct config_node *node = context;

	if (!node->is_paused)
		rules_gossip_tick(node->gossip,
				  config_fleet_now_ms(node->fleet));
	driver_schedule(node->fleet->driver, TICK_MS, node, on_tick);
}

static struct node node_of(const struct config_fleet *fleet, uint32_t index)
{
	return (struct node){
		.node_id = config_fleet_node_id(index),
		.zone_id = 1 + index % fleet->options.zone_count,
		.feature_bits = fleet->nodes[index].features,
		.state = NODE_SERVING,
	};
}

/* All nodes have the same view; faults cut links and leave it unchanged. */
void config_node_set_view(struct config_fleet *fleet, uint32_t index)
{
	uint32_t count = fleet->options.node_count;
	struct node *list = g_new0(struct node, count);
	struct node_view *view;

	for (uint32_t i = 0; i < count; i++)
		list[i] = node_of(fleet, i);
	view = node_view_new(config_fleet_node_id(index), 1, list, count);
	rules_gossip_set_nodes(fleet->nodes[index].gossip, view,
			       config_fleet_now_ms(fleet));
	node_view_free(view);
	g_free(list);
}

static void start_gossip(struct config_fleet *fleet, uint32_t index)
{
	struct config_node *node = &fleet->nodes[index];
	struct rules_gossip_options options = {
		.self_id = config_fleet_node_id(index),
		.zone_id = 1 + index % fleet->options.zone_count,
		.seed = g_rand_int(driver_rand(fleet->driver)),
		.features = node->features,
		.context = node,
		.send = node_send,
		.read_store = node_read_store,
		.watch_store = node_watch_store,
		.repair_store = node_repair_store,
		.rules_changed = node_rules_changed,
		.publish_reports = node_report_zone,
		.roster_changed = node_roster_changed,
	};

	node->gossip = rules_gossip_new(&options);
	node->last_generations = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
}

/* Starts a node and its timer; the caller sets its view afterwards. */
void config_node_start(struct config_fleet *fleet, uint32_t index)
{
	struct config_node *node = &fleet->nodes[index];

	node->fleet = fleet;
	node->index = index;
	node->features =
		index < fleet->options.old_node_count ? 0 : NODE_FEATURES;
	start_gossip(fleet, index);
	driver_schedule(fleet->driver,
			(uint32_t)g_rand_int_range(driver_rand(fleet->driver),
						   0, TICK_MS),
			node, on_tick);
}

/* Restarts a node without its state; its timer keeps running. */
void config_node_restart(struct config_fleet *fleet, uint32_t index)
{
	struct config_node *node = &fleet->nodes[index];

	rules_gossip_free(node->gossip);
	g_hash_table_destroy(node->last_generations);
	node->is_watching = false;
	node->revision = 0;
	start_gossip(fleet, index);
	config_node_set_view(fleet, index);
}
