#ifndef ZONE_REPORTER_H
#define ZONE_REPORTER_H

#include <platform/kv_client.h>

/*
 * Publishes a report on the nodes of one zone in the store, under one key per
 * zone, so that neither the number of keys nor the rate of writes grows with
 * the number of nodes. The key is attached to a lease: when a zone has no
 * reporter left, its report expires.
 */
struct zone_reporter;

/* The client must outlive the reporter; the key is copied. */
struct zone_reporter *zone_reporter_new(struct kv_client *client,
					const char *key);
void zone_reporter_free(struct zone_reporter *reporter);
void zone_reporter_set(struct zone_reporter *reporter, char *text);
void zone_reporter_tick(struct zone_reporter *reporter, bool is_active,
			int64_t now_ms);
bool zone_reporter_is_idle(const struct zone_reporter *reporter);

#endif
