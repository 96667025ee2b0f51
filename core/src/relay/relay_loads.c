#include <core/relay_loads.h>

/* Several reports of a node are missing by then, so it has stopped. */
#define REPORT_LIFE_MS 1500

struct relay_report {
	uint64_t node_id;
	int64_t taken_ms;
	uint32_t row_count;
	struct relay_load *rows;
};

struct relay_loads {
	struct relay_directory *directory;
	GHashTable *reports;
};

static void report_free(gpointer data)
{
	struct relay_report *report = data;

	g_free(report->rows);
	g_free(report);
}

/* Makes a record of no reports; the directory must outlive it. */
struct relay_loads *relay_loads_new(struct relay_directory *directory)
{
	struct relay_loads *loads = g_new0(struct relay_loads, 1);

	loads->directory = directory;
	loads->reports = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, report_free);
	return loads;
}

/* Frees it; NULL is allowed. */
void relay_loads_free(struct relay_loads *loads)
{
	if (!loads)
		return;
	g_hash_table_destroy(loads->reports);
	g_free(loads);
}

static void add_rows(struct relay_loads *loads,
		     const struct relay_report *report)
{
	for (uint32_t i = 0; i < report->row_count; i++) {
		struct relay_target *known = relay_directory_find(
			loads->directory, report->rows[i].tag);

		if (known)
			known->peer_open_count += report->rows[i].open_count;
	}
}

/* A target that came after the report never had its count. */
static void subtract_rows(struct relay_loads *loads,
			  const struct relay_report *report)
{
	for (uint32_t i = 0; i < report->row_count; i++) {
		struct relay_target *known = relay_directory_find(
			loads->directory, report->rows[i].tag);

		if (known)
			known->peer_open_count -=
				MIN(known->peer_open_count,
				    report->rows[i].open_count);
	}
}

/* Takes a node's whole report in place of its last one. */
void relay_loads_take(struct relay_loads *loads, uint64_t node_id,
		      const struct relay_load *rows, uint32_t row_count,
		      int64_t now_ms)
{
	struct relay_report *report =
		g_hash_table_lookup(loads->reports, &node_id);

	if (report) {
		subtract_rows(loads, report);
		g_free(report->rows);
	} else {
		report = g_new0(struct relay_report, 1);
		report->node_id = node_id;
		g_hash_table_insert(loads->reports, &report->node_id, report);
	}
	report->taken_ms = now_ms;
	report->row_count = row_count;
	report->rows = g_memdup2(rows, row_count * sizeof(*rows));
	add_rows(loads, report);
}

/* Drops the reports of nodes that have fallen silent. */
void relay_loads_sweep(struct relay_loads *loads, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, loads->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct relay_report *report = value;

		if (now_ms - report->taken_ms < REPORT_LIFE_MS)
			continue;
		subtract_rows(loads, report);
		g_hash_table_iter_remove(&iter);
	}
}
