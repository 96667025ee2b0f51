#include <core/relay_round_trip.h>

#define US_PER_MS 1000

/* The gains of RFC 6298: 1/8 for the mean, 1/4 for the variation. */
#define SMOOTHED_SHIFT 3
#define VARIATION_SHIFT 2
#define VARIATION_FACTOR 4

/*
 * A handshake takes two trips to the caller and one to the target, about 7 ms
 * within a region; the minimum leaves time for one late wake-up of this node.
 * The maximum is below the caller's first retransmission at 200 ms.
 */
#define TIMEOUT_MIN_MS 30
#define TIMEOUT_MAX_MS 120

static uint32_t abs_difference(uint32_t a, uint32_t b)
{
	return a > b ? a - b : b - a;
}

/*
 * Adds the duration of a handshake whose opening packet was not resent, as RFC
 * 6298 requires (Karn's algorithm).
 */
void relay_round_trip_add(struct relay_round_trip *trip, uint32_t sample_ms)
{
	uint32_t sample_us = sample_ms * US_PER_MS;

	if (trip->smoothed_us == 0) {
		trip->smoothed_us = sample_us;
		trip->variation_us = sample_us / 2;
		return;
	}
	trip->variation_us += (abs_difference(trip->smoothed_us, sample_us) >>
			       VARIATION_SHIFT) -
			      (trip->variation_us >> VARIATION_SHIFT);
	trip->smoothed_us += (sample_us >> SMOOTHED_SHIFT) -
			     (trip->smoothed_us >> SMOOTHED_SHIFT);
}

/* Returns how long to wait for an answer before resending an opening packet. */
uint32_t relay_round_trip_timeout_ms(const struct relay_round_trip *trip)
{
	uint32_t timeout_ms =
		(trip->smoothed_us + VARIATION_FACTOR * trip->variation_us) /
		US_PER_MS;

	if (timeout_ms < TIMEOUT_MIN_MS)
		return TIMEOUT_MIN_MS;
	return timeout_ms < TIMEOUT_MAX_MS ? timeout_ms : TIMEOUT_MAX_MS;
}
