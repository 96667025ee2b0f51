#include "fleet.h"

/* Makes a call of a node or an operator; free it with store_call_free. */
struct store_call *store_call_new(struct config_fleet *fleet, uint32_t index)
{
	struct store_call *call = g_new0(struct store_call, 1);

	call->fleet = fleet;
	call->index = index;
	return call;
}

/* Frees a call and the document it carries. */
void store_call_free(struct store_call *call)
{
	rules_document_free(call->document);
	g_free(call);
}

/* Returns virtual time. */
int64_t fleet_now_ms(const struct config_fleet *fleet)
{
	return driver_now_ms(fleet->driver);
}

/* Draws whether something happens, in parts per million. */
bool fleet_draw_ppm(struct config_fleet *fleet, uint32_t ppm)
{
	return (uint32_t)g_rand_int_range(driver_rand(fleet->driver), 0,
					  FLEET_PPM_MAX) < ppm;
}

/* Returns the id of the node at an index. */
uint64_t fleet_node_id(uint32_t index)
{
	return index + 1;
}

static void on_store_document(void *context)
{
	struct store_call *call = context;
	struct fleet_node *node = &call->fleet->nodes[call->index];

	if (!node->is_cut_off && !node->is_paused)
		rules_gossip_handle_store(node->gossip, call->document,
					  fleet_now_ms(call->fleet));
	store_call_free(call);
}

/* Hands the store's value to a node after the store's delay. */
void fleet_serve_node(struct config_fleet *fleet, uint32_t index)
{
	struct store_call *call = store_call_new(fleet, index);

	call->document = rules_document_copy(fleet->store);
	driver_schedule(fleet->driver, FLEET_STORE_DELAY_MS, call,
			on_store_document);
}

static void serve_watches(struct config_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		if (fleet->nodes[i].is_watching && !fleet->is_watch_stalled)
			fleet_serve_node(fleet, i);
	}
}

/* A text that a line had before and lost must not come back by itself. */
static void check_text(struct config_fleet *fleet,
		       const struct rules_line *line)
{
	char *key = g_strdup_printf("%s %s", line->name, line->text);

	if (line->is_deleted)
		g_free(key);
	else if (!g_hash_table_add(fleet->texts, key))
		fleet->counts.revert_count++;
}

static void note_change(struct config_fleet *fleet,
			const struct rules_document *document)
{
	uint64_t revision = rules_document_revision(document);

	for (uint32_t i = 0; i < rules_document_count(document); i++) {
		const struct rules_line *line = rules_document_at(document, i);

		if (line->generation == revision)
			check_text(fleet, line);
	}
	fleet->counts.change_count++;
	config_spread_add(fleet->spread, revision, fleet_now_ms(fleet));
}

/* Writes if nobody came first; returns whether it did. */
bool fleet_write_store(struct config_fleet *fleet,
		       const struct rules_document *document,
		       int64_t mod_revision, bool is_operator)
{
	fleet->counts.store_write_count++;
	if (mod_revision != fleet->mod_revision)
		return false;
	if (is_operator)
		note_change(fleet, document);
	rules_document_free(fleet->store);
	fleet->store = rules_document_copy(document);
	fleet->mod_revision++;
	serve_watches(fleet);
	return true;
}
