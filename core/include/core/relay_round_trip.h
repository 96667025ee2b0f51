#ifndef CORE_RELAY_ROUND_TRIP_H
#define CORE_RELAY_ROUND_TRIP_H

#include <stdint.h>

/*
 * Estimates the handshake time with the algorithm of RFC 6298: the time from
 * sending an opening packet to a target until the caller's next packet arrives
 * at this node.
 */
struct relay_round_trip {
	uint32_t smoothed_us;
	uint32_t variation_us;
};

void relay_round_trip_add(struct relay_round_trip *trip, uint32_t sample_ms);
uint32_t relay_round_trip_timeout_ms(const struct relay_round_trip *trip);

#endif
