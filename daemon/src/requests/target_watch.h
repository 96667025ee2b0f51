#ifndef TARGET_WATCH_H
#define TARGET_WATCH_H

#include <core/rule_set.h>
#include <glib.h>

/*
 * Derives the states of targets from the platform's list of VMs: a target is
 * leaving while its VM is. A VM that is missing from the list keeps its state,
 * since the list may be out of date. on_state returns false if it could not
 * deliver the state; it is called again after the next list.
 */
struct target_watch;

struct target_watch_options {
	void *context;
	bool (*on_state)(void *context, uint64_t target_id,
			 enum target_state state);
};

struct target_watch *
target_watch_new(const struct target_watch_options *options);
void target_watch_free(struct target_watch *watch);
void target_watch_set_rules(struct target_watch *watch,
			    const struct rule_set *rules);
void target_watch_update_from_list(struct target_watch *watch,
				   const GArray *list);

#endif
