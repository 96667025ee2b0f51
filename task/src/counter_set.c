#include <task/counter_set.h>

#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

struct counter_set {
	const struct counter_row *rows;
	uint32_t row_count;
	uint64_t *values;
};

static const char *const kind_names[] = {
	[COUNTER_TOTAL] = "counter",
	[COUNTER_GAUGE] = "gauge",
};

/* Creates a set with all values 0; rows must outlive it. */
struct counter_set *counter_set_new(const struct counter_row *rows,
				    uint32_t row_count)
{
	struct counter_set *set = g_new0(struct counter_set, 1);

	set->rows = rows;
	set->row_count = row_count;
	set->values = g_new0(uint64_t, row_count);
	return set;
}

/* Frees a set; NULL is allowed. */
void counter_set_free(struct counter_set *set)
{
	if (!set)
		return;
	g_free(set->values);
	g_free(set);
}

void counter_set_add(struct counter_set *set, uint32_t row, uint64_t amount)
{
	set->values[row] += amount;
}

void counter_set_assign(struct counter_set *set, uint32_t row, uint64_t value)
{
	set->values[row] = value;
}

uint64_t counter_set_value(const struct counter_set *set, uint32_t row)
{
	return set->values[row];
}

/* Returns the length of a metric name without its labels. */
static size_t family_name_length(const char *name)
{
	return strcspn(name, "{");
}

static bool is_same_family(const char *a, const char *b)
{
	size_t length = family_name_length(a);

	return length == family_name_length(b) && strncmp(a, b, length) == 0;
}

/* Appends the set in the Prometheus text format, version 0.0.4. */
void counter_set_render(const struct counter_set *set, GString *text)
{
	for (uint32_t i = 0; i < set->row_count; i++) {
		const struct counter_row *row = &set->rows[i];
		int length = (int)family_name_length(row->name);

		if (i == 0 || !is_same_family(row->name, row[-1].name)) {
			g_string_append_printf(text, "# HELP %.*s %s\n", length,
					       row->name, row->help);
			g_string_append_printf(text, "# TYPE %.*s %s\n", length,
					       row->name,
					       kind_names[row->kind]);
		}
		g_string_append_printf(text, "%s %" PRIu64 "\n", row->name,
				       set->values[i]);
	}
}
