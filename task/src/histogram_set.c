#include <task/histogram_set.h>

struct histogram_set {
	uint32_t row_count;
	struct histogram **histograms;
};

/* Creates empty histograms; the strings of rows must outlive them. */
struct histogram_set *histogram_set_new(const struct histogram_row *rows,
					uint32_t row_count)
{
	struct histogram_set *set = g_new0(struct histogram_set, 1);

	set->row_count = row_count;
	set->histograms = g_new0(struct histogram *, row_count);
	for (uint32_t i = 0; i < row_count; i++)
		set->histograms[i] = histogram_new(rows[i].name, rows[i].help);
	return set;
}

/* Frees the histograms; NULL is allowed. */
void histogram_set_free(struct histogram_set *set)
{
	if (!set)
		return;
	for (uint32_t i = 0; i < set->row_count; i++)
		histogram_free(set->histograms[i]);
	g_free(set->histograms);
	g_free(set);
}

/* Records a value in the unit of the histogram; a negative one counts as 0. */
void histogram_set_add(struct histogram_set *set, uint32_t row, int64_t value)
{
	histogram_add(set->histograms[row],
		      (uint32_t)CLAMP(value, 0, (int64_t)UINT32_MAX));
}

/* Appends the set in the Prometheus text format, version 0.0.4. */
void histogram_set_render(const struct histogram_set *set, GString *text)
{
	for (uint32_t i = 0; i < set->row_count; i++)
		histogram_render(set->histograms[i], text);
}
