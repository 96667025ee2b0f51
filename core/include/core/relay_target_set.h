#ifndef CORE_RELAY_TARGET_SET_H
#define CORE_RELAY_TARGET_SET_H

#include <core/relay_target.h>
#include <glib.h>

/*
 * Some of a directory's targets, so that what concerns only these need not
 * visit all. flag is the set's bit in the flags of its targets, which tells
 * without a search whether a target is in the set.
 */
struct relay_target_set {
	GPtrArray *targets;
	uint8_t flag;
};

void relay_target_set_init(struct relay_target_set *set, uint8_t flag);
void relay_target_set_clear(struct relay_target_set *set);
void relay_target_set_add(struct relay_target_set *set,
			  struct relay_target *entry);
void relay_target_set_remove(struct relay_target_set *set,
			     struct relay_target *entry);
void relay_target_set_filter(struct relay_target_set *set, void *context,
			     bool (*visit)(void *context,
					   struct relay_target *entry));

#endif
