#ifndef TASK_HISTOGRAM_SET_H
#define TASK_HISTOGRAM_SET_H

#include <task/histogram.h>

/* Describes one histogram of a task; the suffix of the name is its unit. */
struct histogram_row {
	const char *name;
	const char *help;
};

/* The histograms of one task; only that task may change them. */
struct histogram_set;

struct histogram_set *histogram_set_new(const struct histogram_row *rows,
					uint32_t row_count);
void histogram_set_free(struct histogram_set *set);
void histogram_set_add(struct histogram_set *set, uint32_t row, int64_t value);
void histogram_set_render(const struct histogram_set *set, GString *text);

#endif
