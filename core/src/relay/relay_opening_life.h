#ifndef RELAY_OPENING_LIFE_H
#define RELAY_OPENING_LIFE_H

#include <core/relay_flow.h>
#include <core/relay_packet.h>

/* For how long a node may act on an opening packet. */
uint32_t relay_opening_life_ms(const struct relay_packet *packet);
bool relay_opening_is_stale(const struct relay_packet *packet);
void relay_opening_renew(struct relay_flow *flow,
			 const struct relay_packet *packet, int64_t now_ms);
bool relay_opening_is_current(const struct relay_flow *flow, int64_t now_ms);
bool relay_opening_is_pending(const struct relay_flow *flow, int64_t now_ms);

#endif
