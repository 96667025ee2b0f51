#include "config_fleet_state.h"

/* Creates a call of a node or an operator; free it with store_call_free. */
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

/* Returns the virtual time. */
int64_t config_fleet_now_ms(const struct config_fleet *fleet)
{
	return driver_now_ms(fleet->driver);
}

/* Returns true with a probability of ppm parts per million. */
bool config_fleet_draw_ppm(struct config_fleet *fleet, uint32_t ppm)
{
	return (uint32_t)g_rand_int_range(driver_rand(fleet->driver), 0,
					  CONFIG_FLEET_PPM_MAX) < ppm;
}

/* Returns the id of the node at an index. */
uint64_t config_fleet_node_id(uint32_t index)
{
	return index + 1;
}

static void on_document_received(void *context)
{
	struct store_call *call = context;
	struct config_node *node = &call->fleet->nodes[call->index];

	if (!node->is_store_cut && !node->is_paused)
		rules_gossip_handle_document(node->gossip, call->document,
					     config_fleet_now_ms(call->fleet));
	store_call_free(call);
}

/* Sends the store's document to a node, after the delay of the store. */
void config_fleet_send_document(struct config_fleet *fleet, uint32_t index)
{
	struct store_call *call = store_call_new(fleet, index);

	call->document = rules_document_copy(fleet->store);
	driver_schedule(fleet->driver, CONFIG_FLEET_STORE_DELAY_MS, call,
			on_document_received);
}

static void notify_watchers(struct config_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		if (fleet->nodes[i].is_watching && !fleet->is_watch_stalled)
			config_fleet_send_document(fleet, i);
	}
}

/*
 * A write must not restore an earlier text of a line from an outdated copy of
 * the document.
 */
static void check_text_is_not_reverted(struct config_fleet *fleet,
				       const struct rules_line *line)
{
	char *key = g_strdup_printf("%s %s", line->name, line->text);

	if (line->is_deleted)
		g_free(key);
	else if (!g_hash_table_add(fleet->seen_texts, key))
		fleet->results.revert_count++;
}

static void record_change(struct config_fleet *fleet,
			  const struct rules_document *document)
{
	uint64_t revision = rules_document_revision(document);

	for (uint32_t i = 0; i < rules_document_count(document); i++) {
		const struct rules_line *line = rules_document_at(document, i);

		if (line->generation == revision)
			check_text_is_not_reverted(fleet, line);
	}
	fleet->results.change_count++;
	config_propagation_add(fleet->propagation, revision,
			       config_fleet_now_ms(fleet));
}

/*
 * Writes the document if the store is still at mod_revision (compare-and-swap)
 * and returns whether it did. A write that is not an operator's is a repair and
 * not counted as a change.
 */
bool config_fleet_write_store(struct config_fleet *fleet,
			      const struct rules_document *document,
			      int64_t mod_revision, bool is_operator)
{
	fleet->results.store_write_count++;
	if (mod_revision != fleet->mod_revision)
		return false;
	if (is_operator)
		record_change(fleet, document);
	rules_document_free(fleet->store);
	fleet->store = rules_document_copy(document);
	fleet->mod_revision++;
	notify_watchers(fleet);
	return true;
}
