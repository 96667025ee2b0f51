#ifndef JUDGE_TOUCH_H
#define JUDGE_TOUCH_H

#include <soak/soak_fact.h>

/*
 * Which nodes, and the store, have been undisturbed for long enough that the
 * rules with a time bound hold for them.
 */
struct judge_touch;

struct judge_touch *judge_touch_new(uint32_t node_count);
void judge_touch_free(struct judge_touch *touch);
void judge_touch_note(struct judge_touch *touch, const struct soak_fact *fact);
bool judge_touch_has_node(const struct judge_touch *touch, uint32_t node,
			  int64_t at_ms);
bool judge_touch_is_calm(const struct judge_touch *touch, int64_t since_ms);

#endif
