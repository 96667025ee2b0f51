#ifndef CORE_ROSTER_CHOICE_H
#define CORE_ROSTER_CHOICE_H

#include <core/node_view.h>
#include <core/roster.h>

/*
 * Decides when the roster of a region should be replaced, and by which
 * members. It is slow on purpose: each epoch moves claims between nodes.
 */
struct roster_choice;

struct roster_choice *roster_choice_new(void);
void roster_choice_free(struct roster_choice *choice);
bool roster_choice_next(struct roster_choice *choice, struct roster *next,
			const struct roster *held, const struct node_view *view,
			int64_t now_ms);

#endif
