#ifndef ZONE_WATCH_H
#define ZONE_WATCH_H

#include "member_table.h"

enum zone_change {
	ZONE_UNCHANGED,
	ZONE_PARTITIONED,
	ZONE_HEALED,
	ZONE_LOST,
};

/*
 * Tracks which zones are partitioned from this node, that is, most of their
 * members are suspect at once. Those members stay suspect until a timeout
 * instead of being declared dead one by one.
 */
struct zone_watch;

struct zone_watch *zone_watch_new(uint32_t timeout_ms);
void zone_watch_free(struct zone_watch *watch);
bool zone_watch_is_partitioned(const struct zone_watch *watch,
			       uint32_t zone_id);
bool zone_watch_has_timeout_expired(const struct zone_watch *watch,
				    uint32_t zone_id, int64_t now_ms);
enum zone_change zone_watch_update(struct zone_watch *watch,
				   const struct member_table *table,
				   uint32_t zone_id, int64_t now_ms);
void zone_watch_restart_timeouts(struct zone_watch *watch, int64_t now_ms);

#endif
