#ifndef CORE_RULES_BASE_H
#define CORE_RULES_BASE_H

#include <core/rules_base_line.h>
#include <glib.h>

/*
 * The merge base of one operator's file: the lines as last merged or rejected,
 * and the generation in the store that the next edit of each is based on.
 */
struct rules_base;

struct rules_base *rules_base_new(void);
struct rules_base *rules_base_copy(const struct rules_base *base);
void rules_base_free(struct rules_base *base);
const struct rules_base_line *rules_base_find(const struct rules_base *base,
					      const char *name);
void rules_base_put(struct rules_base *base,
		    const struct rules_base_line *line);
uint32_t rules_base_count(const struct rules_base *base);
const struct rules_base_line *rules_base_at(const struct rules_base *base,
					    uint32_t index);

#endif
