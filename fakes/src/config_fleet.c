#include "fleet.h"

#include <string.h>

#define LINK_DELAY_MS 1
#define LINK_JITTER_MS 1

static void deliver(void *context, uint32_t from, uint32_t to, void *message)
{
	struct config_fleet *fleet = context;

	rules_gossip_receive(fleet->nodes[to].gossip, fleet_node_id(from),
			     message, fleet_now_ms(fleet));
	config_message_free(message);
}

static void discard(void *message)
{
	config_message_free(message);
}

static void start_driver(struct config_fleet *fleet)
{
	struct driver_options options = {
		.instance_count = fleet->options.node_count,
		.seed = fleet->options.seed,
		.link = {.delay_ms = LINK_DELAY_MS,
			 .jitter_ms = LINK_JITTER_MS,
			 .loss_ppm = fleet->options.loss_ppm},
		.context = fleet,
		.deliver = deliver,
		.discard = discard,
	};

	fleet->driver = driver_new(&options);
}

/* Starts a fleet whose store is up and empty; free with config_fleet_free. */
struct config_fleet *
config_fleet_new(const struct config_fleet_options *options)
{
	struct config_fleet *fleet = g_new0(struct config_fleet, 1);

	fleet->options = *options;
	fleet->is_store_up = true;
	fleet->store = rules_document_new();
	fleet->spread = config_spread_new(options->node_count);
	fleet->accepted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->nodes = g_new0(struct fleet_node, options->node_count);
	fleet->operators =
		g_new0(struct fleet_operator, options->operator_count);
	start_driver(fleet);
	for (uint32_t i = 0; i < options->node_count; i++)
		fleet_node_start(fleet, i);
	for (uint32_t i = 0; i < options->node_count; i++)
		fleet_node_set_view(fleet, i);
	for (uint32_t i = 0; i < options->operator_count; i++)
		fleet_operator_start(fleet, i);
	return fleet;
}

/* Frees the fleet; NULL is allowed. */
void config_fleet_free(struct config_fleet *fleet)
{
	if (!fleet)
		return;
	driver_free(fleet->driver);
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		rules_gossip_free(fleet->nodes[i].gossip);
		g_hash_table_destroy(fleet->nodes[i].floor);
	}
	for (uint32_t i = 0; i < fleet->options.operator_count; i++) {
		rules_sync_free(fleet->operators[i].sync);
		g_hash_table_destroy(fleet->operators[i].verdicts);
	}
	g_free(fleet->nodes);
	g_free(fleet->operators);
	rules_document_free(fleet->store);
	rules_document_free(fleet->snapshot);
	config_spread_free(fleet->spread);
	g_hash_table_destroy(fleet->accepted);
	g_hash_table_destroy(fleet->texts);
	g_free(fleet);
}

/* Returns the driver, to draw from its seed or to change its links. */
struct driver *config_fleet_driver(struct config_fleet *fleet)
{
	return fleet->driver;
}

/* Runs for some time. */
void config_fleet_run(struct config_fleet *fleet, int64_t duration_ms)
{
	driver_run_until(fleet->driver, fleet_now_ms(fleet) + duration_ms);
}

/* Lets an operator save a file. */
void config_fleet_save(struct config_fleet *fleet, uint32_t operator_index,
		       const char *file)
{
	rules_sync_set_text(fleet->operators[operator_index].sync,
			    rules_text_new(file, strlen(file)));
}

/* Takes the store down or up, or lets its watches say nothing. */
void config_fleet_set_store(struct config_fleet *fleet, bool is_up,
			    bool is_watch_stalled)
{
	if (is_up && !fleet->is_store_up)
		config_spread_postpone(fleet->spread, fleet_now_ms(fleet));
	fleet->is_store_up = is_up;
	fleet->is_watch_stalled = is_watch_stalled;
}

/* Keeps the store's value, for config_fleet_restore. */
void config_fleet_snapshot(struct config_fleet *fleet)
{
	rules_document_free(fleet->snapshot);
	fleet->snapshot = rules_document_copy(fleet->store);
	fleet->snapshot_mod_revision = fleet->mod_revision;
}

/* Puts the store back to the snapshot, its revision included. */
void config_fleet_restore(struct config_fleet *fleet)
{
	rules_document_free(fleet->store);
	fleet->store = rules_document_copy(fleet->snapshot);
	fleet->mod_revision = fleet->snapshot_mod_revision;
}

/* Cuts a node off from its peers, or joins it again. */
void config_fleet_cut_peers(struct config_fleet *fleet, uint32_t node,
			    bool is_cut_off)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		driver_link(fleet->driver, node, i)->is_cut = is_cut_off;
		driver_link(fleet->driver, i, node)->is_cut = is_cut_off;
	}
}

/* Cuts a node off from the store, or joins it again. */
void config_fleet_cut_store(struct config_fleet *fleet, uint32_t node,
			    bool is_cut_off)
{
	fleet->nodes[node].is_cut_off = is_cut_off;
}

/* Pauses a node, which then does nothing, or wakes it. */
void config_fleet_pause(struct config_fleet *fleet, uint32_t node,
			bool is_paused)
{
	fleet->nodes[node].is_paused = is_paused;
	driver_pause(fleet->driver, node, is_paused);
}

/* Replaces a node by one that knows nothing. */
void config_fleet_restart(struct config_fleet *fleet, uint32_t node)
{
	fleet_node_restart(fleet, node);
}

/* Gives a node other features and tells all the others. */
void config_fleet_set_features(struct config_fleet *fleet, uint32_t node,
			       uint64_t features)
{
	fleet->nodes[node].features = features;
	for (uint32_t i = 0; i < fleet->options.node_count; i++)
		fleet_node_set_view(fleet, i);
}

/* Returns a node's decision, to look at. */
const struct rules_gossip *config_fleet_node(const struct config_fleet *fleet,
					     uint32_t node)
{
	return fleet->nodes[node].gossip;
}

/* Returns what the store holds. */
const struct rules_document *
config_fleet_store(const struct config_fleet *fleet)
{
	return fleet->store;
}

/* Returns what an operator was last told of a line. */
enum rules_verdict config_fleet_verdict(const struct config_fleet *fleet,
					uint32_t operator_index,
					const char *name)
{
	gpointer verdict = NULL;

	if (!g_hash_table_lookup_extended(
		    fleet->operators[operator_index].verdicts, name, NULL,
		    &verdict))
		return RULES_VERDICT_COUNT;
	return (enum rules_verdict)GPOINTER_TO_INT(verdict);
}

/* Tells whether all nodes hold what the store holds. */
bool config_fleet_agrees(const struct config_fleet *fleet)
{
	uint64_t digest = rules_document_digest(fleet->store);

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		const struct rules_replica *replica =
			rules_gossip_replica(fleet->nodes[i].gossip);

		if (rules_document_digest(rules_replica_document(replica)) !=
		    digest)
			return false;
	}
	return true;
}

static bool has_line(const struct rules_document *document, const char *name,
		     uint64_t generation)
{
	const struct rules_line *line = rules_document_find(document, name);

	return line && line->generation >= generation;
}

/* Counts the accepted lines that the store or a node does not hold. */
static uint64_t count_lost(const struct config_fleet *fleet)
{
	GHashTableIter iterator;
	gpointer name;
	gpointer generation;
	uint64_t count = 0;

	g_hash_table_iter_init(&iterator, fleet->accepted);
	while (g_hash_table_iter_next(&iterator, &name, &generation)) {
		uint64_t accepted = *(const uint64_t *)generation;
		bool is_held = has_line(fleet->store, name, accepted);

		for (uint32_t i = 0; i < fleet->options.node_count; i++)
			is_held = is_held &&
				  has_line(rules_replica_document(
						   rules_gossip_replica(
							   fleet->nodes[i]
								   .gossip)),
					   name, accepted);
		count += is_held ? 0 : 1;
	}
	return count;
}

/* Returns what the run came to so far. */
struct config_fleet_count config_fleet_counts(const struct config_fleet *fleet)
{
	struct config_fleet_count counts = fleet->counts;

	counts.lost_count = count_lost(fleet);
	counts.spread_count = config_spread_done_count(fleet->spread);
	counts.spread_max_ms = config_spread_max_ms(fleet->spread);
	return counts;
}
