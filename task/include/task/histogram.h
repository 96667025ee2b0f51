#ifndef TASK_HISTOGRAM_H
#define TASK_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/*
 * A histogram of durations with fixed bucket bounds; the suffix of its name is
 * the unit. Only the task that owns it may change it. name and help must
 * outlive it.
 */
struct histogram;

struct histogram *histogram_new(const char *name, const char *help);
void histogram_free(struct histogram *histogram);
void histogram_add(struct histogram *histogram, uint32_t value);
void histogram_render(const struct histogram *histogram, GString *text);

#endif
