#ifndef CORE_ROSTER_PLANNER_H
#define CORE_ROSTER_PLANNER_H

#include <core/node_view.h>
#include <core/roster.h>

/*
 * Decides when the roster of a region should be replaced, and with which
 * members. A change is delayed until it has persisted, because each new epoch
 * makes holders transfer claims.
 */
struct roster_planner;

struct roster_planner *roster_planner_new(void);
void roster_planner_free(struct roster_planner *planner);
bool roster_planner_next(struct roster_planner *planner, struct roster *next,
			 const struct roster *current,
			 const struct node_view *view, int64_t now_ms);

#endif
