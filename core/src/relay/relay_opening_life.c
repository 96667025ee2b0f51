#include "relay_opening_life.h"

#include <glib.h>

/*
 * A caller that gets no answer sends copies of its opening packet after 200 and
 * 600 ms and gives up after 1400 ms. The next copy may reach another node,
 * which then has the flow, so a node acts on a copy only until shortly before.
 */
#define COPY_COUNT_MAX 3
#define TRANSIT_MS 50
#define GIVE_UP_MS 1400

static const uint16_t copy_interval_ms[COPY_COUNT_MAX] = {200, 400, 800};

/*
 * Returns for how many milliseconds from its arrival no other node can have the
 * flow that the packet opens.
 */
uint32_t relay_opening_life_ms(const struct relay_packet *packet)
{
	return copy_interval_ms[MIN(packet->copy_number, COPY_COUNT_MAX - 1)] -
	       TRANSIT_MS;
}

/* Returns whether another node may have the flow by now. */
bool relay_opening_is_stale(const struct relay_packet *packet)
{
	return packet->age_ms >= relay_opening_life_ms(packet);
}

/* Records that a copy of the flow's opening packet, not stale, has arrived. */
void relay_opening_renew(struct relay_flow *flow,
			 const struct relay_packet *packet, int64_t now_ms)
{
	flow->used_ms = now_ms;
	flow->opening_life_ms =
		(uint16_t)(relay_opening_life_ms(packet) - packet->age_ms);
}

/* Returns whether the last copy of the flow's opening packet may be resent. */
bool relay_opening_is_current(const struct relay_flow *flow, int64_t now_ms)
{
	return now_ms - flow->used_ms < flow->opening_life_ms;
}

/*
 * Returns whether the caller of a flow whose opening packet this node got may
 * still be waiting for an answer.
 */
bool relay_opening_is_pending(const struct relay_flow *flow, int64_t now_ms)
{
	return (uint32_t)now_ms - flow->first_seen_ms < GIVE_UP_MS;
}
