#include "gossip_reports.h"

/* by_node has a report for each live node of the zone. */
struct gossip_reports {
	uint32_t zone_id;
	GHashTable *by_node;
};

/* Makes reports without nodes; free them with gossip_reports_free. */
struct gossip_reports *gossip_reports_new(uint32_t zone_id)
{
	struct gossip_reports *reports = g_new0(struct gossip_reports, 1);

	reports->zone_id = zone_id;
	reports->by_node = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	return reports;
}

/* Frees the reports; NULL is allowed. */
void gossip_reports_free(struct gossip_reports *reports)
{
	if (!reports)
		return;
	g_hash_table_destroy(reports->by_node);
	g_free(reports);
}

/* Updates a node's report from its digest; returns whether it changed. */
bool gossip_reports_update(struct gossip_reports *reports, uint64_t node_id,
			   const struct config_message *message)
{
	struct config_report *report =
		g_hash_table_lookup(reports->by_node, &node_id);

	if (!report || (report->revision == message->revision &&
			report->digest == message->digest &&
			report->held_line_count == message->held_line_count))
		return false;
	report->revision = message->revision;
	report->digest = message->digest;
	report->held_line_count = message->held_line_count;
	return true;
}

static bool is_zone_member(const struct gossip_reports *reports,
			   const struct node *node)
{
	return node && node->zone_id == reports->zone_id &&
	       node->state != NODE_DEAD;
}

/*
 * Adds reports for new nodes of the zone, and removes those of nodes that are
 * dead or no longer in the view; returns whether any was added or removed.
 */
bool gossip_reports_set_nodes(struct gossip_reports *reports,
			      const struct node_view *view)
{
	bool is_changed = false;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, reports->by_node);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct config_report *report = value;

		if (is_zone_member(reports,
				   node_view_find(view, report->node_id)))
			continue;
		g_hash_table_iter_remove(&iterator);
		is_changed = true;
	}
	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);
		struct config_report *report;

		if (!is_zone_member(reports, node) ||
		    g_hash_table_contains(reports->by_node, &node->node_id))
			continue;
		report = g_new0(struct config_report, 1);
		report->node_id = node->node_id;
		report->zone_id = node->zone_id;
		g_hash_table_insert(reports->by_node, &report->node_id, report);
		is_changed = true;
	}
	return is_changed;
}

/* Returns an array of struct config_report; free it with g_array_free. */
GArray *gossip_reports_list(const struct gossip_reports *reports)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct config_report));
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, reports->by_node);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		g_array_append_vals(list, value, 1);
	return list;
}
