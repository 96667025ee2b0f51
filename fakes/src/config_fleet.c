#include "config_fleet_state.h"

#include <string.h>

#define LINK_DELAY_MS 1
#define LINK_JITTER_MS 1

static void deliver(void *context, uint32_t from, uint32_t to, void *message)
{
	struct config_fleet *fleet = context;

	rules_gossip_handle_message(fleet->nodes[to].gossip,
				    config_fleet_node_id(from), message,
				    config_fleet_now_ms(fleet));
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

/* Starts a fleet with an empty store; free it with config_fleet_free. */
struct config_fleet *
config_fleet_new(const struct config_fleet_options *options)
{
	struct config_fleet *fleet = g_new0(struct config_fleet, 1);

	fleet->options = *options;
	fleet->is_store_up = true;
	fleet->store = rules_document_new();
	fleet->propagation = config_propagation_new(options->node_count);
	fleet->accepted_generations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->seen_texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->nodes = g_new0(struct config_node, options->node_count);
	fleet->operators =
		g_new0(struct config_operator, options->operator_count);
	start_driver(fleet);
	for (uint32_t i = 0; i < options->node_count; i++)
		config_node_start(fleet, i);
	for (uint32_t i = 0; i < options->node_count; i++)
		config_node_set_view(fleet, i);
	for (uint32_t i = 0; i < options->operator_count; i++)
		config_operator_start(fleet, i);
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
		g_hash_table_destroy(fleet->nodes[i].last_generations);
	}
	for (uint32_t i = 0; i < fleet->options.operator_count; i++) {
		rules_sync_free(fleet->operators[i].sync);
		g_hash_table_destroy(fleet->operators[i].verdicts);
	}
	g_free(fleet->nodes);
	g_free(fleet->operators);
	rules_document_free(fleet->store);
	rules_document_free(fleet->snapshot);
	config_propagation_free(fleet->propagation);
	g_hash_table_destroy(fleet->accepted_generations);
	g_hash_table_destroy(fleet->seen_texts);
	g_free(fleet);
}

/* Returns the driver, for random numbers and changes of its links. */
struct driver *config_fleet_driver(struct config_fleet *fleet)
{
	return fleet->driver;
}

/* Advances virtual time by duration_ms. */
void config_fleet_run(struct config_fleet *fleet, int64_t duration_ms)
{
	driver_run_until(fleet->driver,
			 config_fleet_now_ms(fleet) + duration_ms);
}

/* Passes a newly saved rules file to an operator's sync. */
void config_fleet_save_rules(struct config_fleet *fleet,
			     uint32_t operator_index, const char *file)
{
	rules_sync_set_text(fleet->operators[operator_index].sync,
			    rules_text_new(file, strlen(file)));
}

/* Sets whether the store is up and whether its watches silently stall. */
void config_fleet_set_store_state(struct config_fleet *fleet, bool is_up,
				  bool is_watch_stalled)
{
	if (is_up && !fleet->is_store_up)
		config_propagation_restart_timers(fleet->propagation,
						  config_fleet_now_ms(fleet));
	fleet->is_store_up = is_up;
	fleet->is_watch_stalled = is_watch_stalled;
}

/* Takes a snapshot of the store, for config_fleet_restore_store. */
void config_fleet_snapshot_store(struct config_fleet *fleet)
{
	rules_document_free(fleet->snapshot);
	fleet->snapshot = rules_document_copy(fleet->store);
	fleet->snapshot_mod_revision = fleet->mod_revision;
}

/* Restores the store from the snapshot, including its revision. */
void config_fleet_restore_store(struct config_fleet *fleet)
{
	rules_document_free(fleet->store);
	fleet->store = rules_document_copy(fleet->snapshot);
	fleet->mod_revision = fleet->snapshot_mod_revision;
}

/* Cuts or restores the links between a node and its peers. */
void config_fleet_cut_peer_links(struct config_fleet *fleet, uint32_t node,
				 bool is_cut)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		driver_link(fleet->driver, node, i)->is_cut = is_cut;
		driver_link(fleet->driver, i, node)->is_cut = is_cut;
	}
}

/* Cuts or restores the link between a node and the store. */
void config_fleet_cut_store_link(struct config_fleet *fleet, uint32_t node,
				 bool is_cut)
{
	fleet->nodes[node].is_store_cut = is_cut;
}

/* Pauses or resumes a node; a paused one gets no messages and no ticks. */
void config_fleet_pause(struct config_fleet *fleet, uint32_t node,
			bool is_paused)
{
	fleet->nodes[node].is_paused = is_paused;
	driver_pause(fleet->driver, node, is_paused);
}

/* Restarts a node, which loses its state. */
void config_fleet_restart(struct config_fleet *fleet, uint32_t node)
{
	config_node_restart(fleet, node);
}

/* Changes a node's features and updates every node's view. */
void config_fleet_set_features(struct config_fleet *fleet, uint32_t node,
			       uint64_t features)
{
	fleet->nodes[node].features = features;
	for (uint32_t i = 0; i < fleet->options.node_count; i++)
		config_node_set_view(fleet, i);
}

/* Returns a node's gossip state, for inspection. */
const struct rules_gossip *config_fleet_gossip(const struct config_fleet *fleet,
					       uint32_t node)
{
	return fleet->nodes[node].gossip;
}

/* Returns the document in the store. */
const struct rules_document *
config_fleet_stored_document(const struct config_fleet *fleet)
{
	return fleet->store;
}

/*
 * Returns the verdict on a line in an operator's last merge, or
 * RULES_VERDICT_COUNT if there is none.
 */
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

/* Returns whether every node has the same document as the store. */
bool config_fleet_is_converged(const struct config_fleet *fleet)
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

/* Counts the accepted lines that the store or a node lacks. */
static uint64_t count_lost(const struct config_fleet *fleet)
{
	GHashTableIter iterator;
	gpointer name;
	gpointer generation;
	uint64_t count = 0;

	g_hash_table_iter_init(&iterator, fleet->accepted_generations);
	while (g_hash_table_iter_next(&iterator, &name, &generation)) {
		uint64_t accepted_generation = *(const uint64_t *)generation;
		bool is_held =
			has_line(fleet->store, name, accepted_generation);

		for (uint32_t i = 0; i < fleet->options.node_count; i++)
			is_held = is_held &&
				  has_line(rules_replica_document(
						   rules_gossip_replica(
							   fleet->nodes[i]
								   .gossip)),
					   name, accepted_generation);
		count += is_held ? 0 : 1;
	}
	return count;
}

/* Returns the results of the run so far. */
struct config_fleet_result
config_fleet_results(const struct config_fleet *fleet)
{
	struct config_fleet_result results = fleet->results;

	results.lost_count = count_lost(fleet);
	results.propagated_count =
		config_propagation_complete_count(fleet->propagation);
	results.propagation_max_ms =
		config_propagation_max_ms(fleet->propagation);
	return results;
}
