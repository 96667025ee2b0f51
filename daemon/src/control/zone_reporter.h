#ifndef ZONE_REPORTER_H
#define ZONE_REPORTER_H

#include <platform/kv_client.h>

/*
 * Publishes what the nodes of one zone hold, under a key of the zone, so that
 * status reads few keys and writes stay few however many nodes there are. The
 * key hangs on a lease: when a zone is gone, so is its report.
 */
struct zone_reporter;

/* The client must outlive it; the key is copied. */
struct zone_reporter *zone_reporter_new(struct kv_client *client,
					const char *key);
void zone_reporter_free(struct zone_reporter *reporter);
void zone_reporter_set(struct zone_reporter *reporter, char *text);
void zone_reporter_tick(struct zone_reporter *reporter, bool is_active,
			int64_t now_ms);
bool zone_reporter_is_idle(const struct zone_reporter *reporter);

#endif
