#include <core/relay_loads.h>

#include <stdlib.h>

struct relay_report {
	uint64_t node_id;
	int64_t valid_until_ms;
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

/*
 * Creates an empty set of load reports; the directory must outlive it. Free it
 * with relay_loads_free.
 */
struct relay_loads *relay_loads_new(struct relay_directory *directory)
{
	struct relay_loads *loads = g_new0(struct relay_loads, 1);

	loads->directory = directory;
	loads->reports = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, report_free);
	return loads;
}

/* Frees the reports; NULL is allowed. */
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
		struct relay_target *entry = relay_directory_find(
			loads->directory, report->rows[i].tag);

		if (entry)
			entry->peer_open_count += report->rows[i].open_count;
	}
}

/*
 * The report's count is not included in peer_open_count of a target that was
 * added to the directory after the report, so the subtraction stops at 0.
 */
static void subtract_rows(struct relay_loads *loads,
			  const struct relay_report *report)
{
	for (uint32_t i = 0; i < report->row_count; i++) {
		struct relay_target *entry = relay_directory_find(
			loads->directory, report->rows[i].tag);

		if (entry)
			entry->peer_open_count -=
				MIN(entry->peer_open_count,
				    report->rows[i].open_count);
	}
}

/*
 * Replaces the previous report of a node. The report is valid until the given
 * time or until the next one.
 */
void relay_loads_update(struct relay_loads *loads, uint64_t node_id,
			const struct relay_load *rows, uint32_t row_count,
			int64_t valid_until_ms)
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
	report->valid_until_ms = valid_until_ms;
	report->row_count = row_count;
	report->rows = g_memdup2(rows, row_count * sizeof(*rows));
	add_rows(loads, report);
}

/* The rows of this node's own report so far. */
struct collection {
	struct relay_load *rows;
	uint32_t row_count;
	uint32_t row_count_max;
};

/* Returns whether the target still has open flows of this node. */
static bool collect(void *context, struct relay_target *entry)
{
	struct collection *collection = context;

	if (entry->own_open_count == 0)
		return false;
	if (collection->row_count < collection->row_count_max)
		collection->rows[collection->row_count++] = (struct relay_load){
			.tag = entry->tag, .open_count = entry->own_open_count};
	return true;
}

static int compare_tags(const void *a, const void *b)
{
	uint32_t first = ((const struct relay_load *)a)->tag;
	uint32_t second = ((const struct relay_load *)b)->tag;

	return (first > second) - (first < second);
}

/*
 * Writes this node's own open flows by target, as other nodes need them, to
 * rows, row_count_max of them at most. Returns their number. They are sorted by
 * tag, so that the same flows make the same report.
 */
uint32_t relay_loads_collect(struct relay_loads *loads, struct relay_load *rows,
			     uint32_t row_count_max)
{
	struct collection collection = {.rows = rows,
					.row_count_max = row_count_max};

	relay_target_set_filter(relay_directory_used_targets(loads->directory),
				&collection, collect);
	qsort(rows, collection.row_count, sizeof(*rows), compare_tags);
	return collection.row_count;
}

/* Removes expired reports. */
void relay_loads_sweep(struct relay_loads *loads, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, loads->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct relay_report *report = value;

		if (now_ms < report->valid_until_ms)
			continue;
		subtract_rows(loads, report);
		g_hash_table_iter_remove(&iter);
	}
}
