#ifndef ZONE_EXCHANGES_H
#define ZONE_EXCHANGES_H

#include <core/relay_zone_health.h>

/* The last exchanges with the targets of a zone; older ones count less. */
struct zone_exchange_counts {
	uint32_t zone_id;
	uint32_t prompt_units;
	uint32_t repeated_units;
	int64_t decayed_ms;
};

/*
 * How this node's exchanges with the targets of each zone go: a target that
 * fails alone leaves most of them undisturbed; a fault of the node itself, or
 * links that lose packets, do not. Initialize it with zeros.
 */
struct zone_exchanges {
	struct zone_exchange_counts counts[RELAY_ZONE_COUNT_MAX];
	uint32_t zone_count;
};

void zone_exchanges_add_prompt(struct zone_exchanges *exchanges,
			       uint32_t zone_id, int64_t now_ms);
void zone_exchanges_add_repeated(struct zone_exchanges *exchanges,
				 uint32_t zone_id, int64_t now_ms);
bool zone_exchanges_are_fit(struct zone_exchanges *exchanges, uint32_t zone_id,
			    int64_t now_ms);
bool zone_exchanges_are_disturbed(struct zone_exchanges *exchanges,
				  uint32_t zone_id, int64_t now_ms);

#endif
