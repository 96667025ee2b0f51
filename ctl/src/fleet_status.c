#include "fleet_status.h"

#include <core/rule.h>
#include <string.h>
#include <wire/config_report_codec.h>

/* zones has, for each report, the last part of its key. */
struct fleet_status {
	GArray *reports;
	GPtrArray *zones;
};

static void add_zone(struct fleet_status *status, const struct kv_entry *entry)
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

/* Reads the reports of all zones; free it with fleet_status_free. */
struct fleet_status *fleet_status_new(const struct kv_reply *reply)
{
	struct fleet_status *status = g_new0(struct fleet_status, 1);

	status->reports =
		g_array_new(FALSE, FALSE, sizeof(struct config_report));
	status->zones = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < reply->entries->len; i++)
		add_zone(status, kv_reply_entry(reply, i));
	return status;
}

/* Frees it; NULL is allowed. */
void fleet_status_free(struct fleet_status *status)
{
	if (!status)
		return;
	g_array_free(status->reports, TRUE);
	g_ptr_array_free(status->zones, TRUE);
	g_free(status);
}

/* Returns the number of nodes that the reports name. */
uint32_t fleet_status_count(const struct fleet_status *status)
{
	return status->reports->len;
}

/* Returns a node's report. */
const struct config_report *fleet_status_at(const struct fleet_status *status,
					    uint32_t index)
{
	return &g_array_index(status->reports, struct config_report, index);
}

/* Returns the name of a node's zone. */
const char *fleet_status_zone(const struct fleet_status *status, uint32_t index)
{
	return g_ptr_array_index(status->zones, index);
}

/* Counts the nodes that have a line in force; form 2 may be held back. */
uint32_t fleet_status_in_force(const struct fleet_status *status,
			       uint64_t generation, uint32_t form)
{
	uint32_t count = 0;

	for (guint i = 0; i < status->reports->len; i++) {
		const struct config_report *report = fleet_status_at(status, i);
		bool is_held = form > RULE_FORM_FIRST && report->held_count > 0;

		count += report->revision >= generation && !is_held ? 1 : 0;
	}
	return count;
}
