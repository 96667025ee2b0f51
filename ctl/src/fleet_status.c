#include "fleet_status.h"

#include <core/rule.h>
#include <string.h>
#include <wire/config_report_codec.h>

/* zones has the zone name of each report, the last part of the entry's key. */
struct fleet_status {
	GArray *reports;
	GPtrArray *zones;
};

static void add_zone_reports(struct fleet_status *status,
			     const struct kv_entry *entry)
{
	GArray *reports =
		config_report_decode(entry->value, entry->value_bytes, NULL);
	const char *slash = strrchr(entry->key, '/');

	for (guint i = 0; reports && i < reports->len; i++) {
		g_array_append_val(
			status->reports,
			g_array_index(reports, struct config_report, i));
		g_ptr_array_add(status->zones,
				g_strdup(slash ? slash + 1 : entry->key));
	}
	if (reports)
		g_array_free(reports, TRUE);
}

/* Decodes the reports of all zones; free the result with fleet_status_free. */
struct fleet_status *fleet_status_new(const struct kv_reply *reply)
{
	struct fleet_status *status = g_new0(struct fleet_status, 1);

	status->reports =
		g_array_new(FALSE, FALSE, sizeof(struct config_report));
	status->zones = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < reply->entries->len; i++)
		add_zone_reports(status, kv_reply_entry(reply, i));
	return status;
}

/* Frees the status; NULL is allowed. */
void fleet_status_free(struct fleet_status *status)
{
	if (!status)
		return;
	g_array_free(status->reports, TRUE);
	g_ptr_array_free(status->zones, TRUE);
	g_free(status);
}

/* Returns the number of nodes that have a report. */
uint32_t fleet_status_count(const struct fleet_status *status)
{
	return status->reports->len;
}

/* Returns the report at an index below fleet_status_count. */
const struct config_report *fleet_status_at(const struct fleet_status *status,
					    uint32_t index)
{
	return &g_array_index(status->reports, struct config_report, index);
}

/* Returns the zone name of the report at an index. */
const char *fleet_status_zone(const struct fleet_status *status, uint32_t index)
{
	return g_ptr_array_index(status->zones, index);
}

/*
 * Returns the number of nodes on which a line is in force. A node may hold back
 * lines of a syntax version (form) above RULE_FORM_FIRST. Its report does not
 * say which, so on such a node none of them counts as in force.
 */
uint32_t fleet_status_in_force_count(const struct fleet_status *status,
				     uint64_t generation, uint32_t form)
{
	uint32_t count = 0;

	for (guint i = 0; i < status->reports->len; i++) {
		const struct config_report *report = fleet_status_at(status, i);
		bool is_held =
			form > RULE_FORM_FIRST && report->held_line_count > 0;

		count += report->revision >= generation && !is_held ? 1 : 0;
	}
	return count;
}
