#include <core/rules_base.h>

struct rules_base {
	GPtrArray *lines;
	GHashTable *by_name;
};

static void free_line(gpointer data)
{
	struct rules_base_line *line = data;

	g_free(line->text);
	g_free(line);
}

/* Makes the base of a file never merged; free it with rules_base_free. */
struct rules_base *rules_base_new(void)
{
	struct rules_base *base = g_new0(struct rules_base, 1);

	base->lines = g_ptr_array_new_with_free_func(free_line);
	base->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return base;
}

/* Makes a deep copy; free it with rules_base_free. */
struct rules_base *rules_base_copy(const struct rules_base *base)
{
	struct rules_base *copy = rules_base_new();

	for (guint i = 0; i < base->lines->len; i++)
		rules_base_put(copy, g_ptr_array_index(base->lines, i));
	return copy;
}

/* Frees a base; NULL is allowed. */
void rules_base_free(struct rules_base *base)
{
	if (!base)
		return;
	g_hash_table_destroy(base->by_name);
	g_ptr_array_free(base->lines, TRUE);
	g_free(base);
}

/* Returns the line of a service, or NULL. */
const struct rules_base_line *rules_base_find(const struct rules_base *base,
					      const char *name)
{
	return g_hash_table_lookup(base->by_name, name);
}

/* Adds a copy of a line, or replaces the line of the same service. */
void rules_base_put(struct rules_base *base, const struct rules_base_line *line)
{
	struct rules_base_line *existing =
		g_hash_table_lookup(base->by_name, line->name);
	char *text = g_strdup(line->text);

	if (!existing) {
		existing = g_memdup2(line, sizeof(*line));
		existing->text = NULL;
		g_ptr_array_add(base->lines, existing);
		g_hash_table_insert(base->by_name, existing->name, existing);
	}
	g_free(existing->text);
	existing->text = text;
	existing->generation = line->generation;
	existing->is_rejected = line->is_rejected;
}

/* Returns the number of lines. */
uint32_t rules_base_count(const struct rules_base *base)
{
	return base->lines->len;
}

/* Returns the line at an index below rules_base_count. */
const struct rules_base_line *rules_base_at(const struct rules_base *base,
					    uint32_t index)
{
	return g_ptr_array_index(base->lines, index);
}
