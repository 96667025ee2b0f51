#ifndef TARGET_WATCH_H
#define TARGET_WATCH_H

#include <core/rule_set.h>
#include <glib.h>

/*
 * Turns the platform's list of VMs into states of targets: a target whose VM
 * is leaving leaves. A VM that the list does not have says nothing, since the
 * list lags. on_state returns false when it could not tell; it is asked again
 * with the next list.
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
void target_watch_take_list(struct target_watch *watch, const GArray *list);

#endif
