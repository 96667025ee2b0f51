#include "zone_exchanges.h"

#include <glib.h>

/* An exchange counts half as much after this time. */
#define HALF_LIFE_MS 500

/* What an exchange counts at first. */
#define EXCHANGE_UNITS 64

/* Exchanges that were answered at once, for each that needed a repetition. */
#define PROMPT_PER_REPEATED 3

/* The fewest exchanges that show anything. */
#define PROMPT_UNITS_MIN (2 * EXCHANGE_UNITS)

/* Keeps the shift in range; no unit is left after fewer halvings. */
#define HALVING_COUNT_MAX 31

static void decay(struct zone_exchange_counts *counts, int64_t now_ms)
{
	int64_t halving_count = (now_ms - counts->decayed_ms) / HALF_LIFE_MS;
	uint32_t shift = (uint32_t)CLAMP(halving_count, 0, HALVING_COUNT_MAX);

	if (halving_count <= 0)
		return;
	counts->prompt_units >>= shift;
	counts->repeated_units >>= shift;
	counts->decayed_ms += halving_count * HALF_LIFE_MS;
}

/* Returns NULL for a further zone after RELAY_ZONE_COUNT_MAX. */
static struct zone_exchange_counts *
find_or_add(struct zone_exchanges *exchanges, uint32_t zone_id, int64_t now_ms)
{
	struct zone_exchange_counts *counts;

	for (uint32_t i = 0; i < exchanges->zone_count; i++) {
		counts = &exchanges->counts[i];
		if (counts->zone_id != zone_id)
			continue;
		decay(counts, now_ms);
		return counts;
	}
	if (exchanges->zone_count == RELAY_ZONE_COUNT_MAX)
		return NULL;
	counts = &exchanges->counts[exchanges->zone_count++];
	*counts = (struct zone_exchange_counts){.zone_id = zone_id,
						.decayed_ms = now_ms};
	return counts;
}

/* Records that a target of the zone answered what was sent once. */
void zone_exchanges_add_prompt(struct zone_exchanges *exchanges,
			       uint32_t zone_id, int64_t now_ms)
{
	struct zone_exchange_counts *counts =
		find_or_add(exchanges, zone_id, now_ms);

	if (counts)
		counts->prompt_units += EXCHANGE_UNITS;
}

/*
 * Records that a flow had to send data to a target of the zone again, whether
 * it was answered or not.
 */
void zone_exchanges_add_repeated(struct zone_exchanges *exchanges,
				 uint32_t zone_id, int64_t now_ms)
{
	struct zone_exchange_counts *counts =
		find_or_add(exchanges, zone_id, now_ms);

	if (counts)
		counts->repeated_units += EXCHANGE_UNITS;
}

/*
 * Returns whether nearly all exchanges of this node with the zone's targets
 * were answered at once lately, so that a target that does not answer is to
 * blame. Never so for a zone after RELAY_ZONE_COUNT_MAX.
 */
bool zone_exchanges_are_fit(struct zone_exchanges *exchanges, uint32_t zone_id,
			    int64_t now_ms)
{
	struct zone_exchange_counts *counts =
		find_or_add(exchanges, zone_id, now_ms);

	return counts && counts->prompt_units >= PROMPT_UNITS_MIN &&
	       counts->prompt_units >=
		       PROMPT_PER_REPEATED * counts->repeated_units;
}

/*
 * Returns whether most exchanges needed a repetition lately. It takes more than
 * not being fit, so that a decision is not changed by every exchange.
 */
bool zone_exchanges_are_disturbed(struct zone_exchanges *exchanges,
				  uint32_t zone_id, int64_t now_ms)
{
	struct zone_exchange_counts *counts =
		find_or_add(exchanges, zone_id, now_ms);

	return !counts || counts->repeated_units > counts->prompt_units;
}
