#ifndef TASK_HISTOGRAM_H
#define TASK_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/*
 * Times, counted in buckets of fixed bounds, in the unit that the name ends
 * with; only the task that owns it changes it. Name and help must outlive it.
 */
struct histogram;

struct histogram *histogram_new(const char *name, const char *help);
void histogram_free(struct histogram *histogram);
void histogram_add(struct histogram *histogram, uint32_t value);
void histogram_render(const struct histogram *histogram, GString *text);

#endif
