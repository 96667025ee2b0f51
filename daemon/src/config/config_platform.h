#ifndef CONFIG_PLATFORM_H
#define CONFIG_PLATFORM_H

#include "claims/roster_updater.h"
#include "config_store.h"

#include <daemon/settings.h>

/*
 * Access to everything that a node reads and writes in the platform's
 * key-value store: rules, roster, the zone's report and the list of targets.
 */
struct config_platform;

/*
 * on_targets gets an array of struct target, or NULL and an error. The other
 * callbacks are described at config_store_options and roster_updater_options.
 */
struct config_platform_options {
	struct event_base *base;
	const struct settings *settings;
	void *context;
	void (*on_document)(void *context,
			    const struct rules_document *document);
	void (*on_failed)(void *context, const char *reason);
	void (*on_roster)(void *context, const struct roster *roster);
	void (*on_targets)(void *context, const GArray *list,
			   const GError *error);
};

struct config_platform *
config_platform_new(const struct config_platform_options *options,
		    GError **error);
void config_platform_free(struct config_platform *platform);
struct config_store *config_platform_store(struct config_platform *platform);
void config_platform_set_report(struct config_platform *platform, char *text);
void config_platform_tick(struct config_platform *platform,
			  const struct roster_updater_inputs *roster_inputs,
			  bool is_reporter, int64_t now_ms);
void config_platform_read_targets(struct config_platform *platform);
uint64_t config_platform_call_count(const struct config_platform *platform);

#endif
