#ifndef CORE_RELAY_ZONE_HEALTH_H
#define CORE_RELAY_ZONE_HEALTH_H

#include <core/relay_health.h>

#define RELAY_ZONE_COUNT_MAX 32

/*
 * Tracks whether the targets of each zone answer this node. In a zone that is
 * partitioned, several targets stop answering at the same time.
 */
struct relay_zone_health;

struct relay_zone_health *relay_zone_health_new(void);
void relay_zone_health_free(struct relay_zone_health *zones);
void relay_zone_health_record_answer(struct relay_zone_health *zones,
				     uint32_t zone_id, int64_t now_ms);
bool relay_zone_health_record_timeout(struct relay_zone_health *zones,
				      uint32_t zone_id, uint32_t tag,
				      int64_t sent_ms, int64_t now_ms);
bool relay_zone_health_is_avoided(const struct relay_zone_health *zones,
				  uint32_t zone_id, int64_t now_ms);

#endif
