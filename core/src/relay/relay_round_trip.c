#include <core/relay_round_trip.h>

#define US_PER_MS 1000

/* The gains of RFC 6298: 1/8 for the mean, 1/4 for the variation. */
#define SMOOTHED_SHIFT 3
#define VARIATION_SHIFT 2
#define VARIATION_FACTOR 4

/*
 * A handshake takes two ways to the caller and one to the target, about 7 ms
 * within a region; the least leaves room for one late wake-up of this node.
 * The most stays below the caller's own first copy at 200 ms.
 */
#define TIMEOUT_LEAST_MS 30
#define TIMEOUT_MOST_MS 120

static uint32_t distance(uint32_t a, uint32_t b)
{
	return a > b ? a - b : b - a;
}

/* Takes a sample of one handshake that was not repeated. */
void relay_round_trip_add(struct relay_round_trip *trip, uint32_t sample_ms)
{
	uint32_t sample_us = sample_ms * US_PER_MS;

	if (trip->smoothed_us == 0) {
		trip->smoothed_us = sample_us;
		trip->variation_us = sample_us / 2;
		return;
	}
	trip->variation_us +=
		(distance(trip->smoothed_us, sample_us) >> VARIATION_SHIFT) -
		(trip->variation_us >> VARIATION_SHIFT);
	trip->smoothed_us += (sample_us >> SMOOTHED_SHIFT) -
			     (trip->smoothed_us >> SMOOTHED_SHIFT);
}

/* Returns after how long without an answer the packet is taken as lost. */
uint32_t relay_round_trip_timeout_ms(const struct relay_round_trip *trip)
{
	uint32_t timeout_ms =
		(trip->smoothed_us + VARIATION_FACTOR * trip->variation_us) /
		US_PER_MS;

	if (timeout_ms < TIMEOUT_LEAST_MS)
		return TIMEOUT_LEAST_MS;
	return timeout_ms < TIMEOUT_MOST_MS ? timeout_ms : TIMEOUT_MOST_MS;
}
