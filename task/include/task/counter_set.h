#ifndef TASK_COUNTER_SET_H
#define TASK_COUNTER_SET_H

#include <glib.h>
#include <stdint.h>

enum counter_kind {
	COUNTER_TOTAL,
	COUNTER_GAUGE,
};

/*
 * Describes one counter or gauge of a task. The name may have labels, for
 * example shallot_requests_total{class="urgent"}.
 */
struct counter_row {
	const char *name;
	const char *help;
	enum counter_kind kind;
};

/* The counters and gauges of one task; only that task may change them. */
struct counter_set;

struct counter_set *counter_set_new(const struct counter_row *rows,
				    uint32_t row_count);
void counter_set_free(struct counter_set *set);
void counter_set_add(struct counter_set *set, uint32_t row, uint64_t amount);
void counter_set_assign(struct counter_set *set, uint32_t row, uint64_t value);
uint64_t counter_set_value(const struct counter_set *set, uint32_t row);
void counter_set_render(const struct counter_set *set, GString *text);

#endif
