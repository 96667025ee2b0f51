#ifndef FEED_ERA_H
#define FEED_ERA_H

#include "feed_task_state.h"

/*
 * What a node does when the store has been restored from an older copy, which
 * begins a new era. Revisions and leases of different eras are unrelated.
 */
bool feed_era_is_outdated(const struct feed_task *feed,
			  const struct kv_reply *snapshot);
void feed_era_enter(struct feed_task *feed, const struct kv_reply *snapshot);

#endif
