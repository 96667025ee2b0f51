#ifndef REVIEW_CASES_H
#define REVIEW_CASES_H

#include "world.h"

bool case_prepare(struct world *world, const char *name);
bool case_late_echo(struct world *world);
bool case_quiet_zone(struct world *world);
bool case_moved_route(struct world *world);
bool case_back_ends(struct world *world);

#endif
