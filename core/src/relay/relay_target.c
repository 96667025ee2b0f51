#include <core/relay_target.h>

#define MILLI 1000

/* A target that has just started takes about this much longer. */
#define WARMING_COST_MILLI 1600

/* Tells whether new flows may go there, apart from its health. */
bool relay_target_is_open_to_new(const struct relay_target *known,
				 int64_t now_ms)
{
	if (known->lapse_end_ms != 0)
		return now_ms < known->lapse_end_ms;
	return known->target.state == TARGET_SERVING ||
	       known->target.state == TARGET_COLD;
}

/*
 * Returns how much of its slots the target would have in use with one flow
 * more, in thousandths; from 1000 on the flow would wait.
 */
uint32_t relay_target_cost_milli(const struct relay_target *known,
				 int64_t now_ms)
{
	uint32_t slot_count =
		known->target.slot_count ? known->target.slot_count : 1;
	uint64_t open_count =
		(uint64_t)known->own_open_count + known->peer_open_count + 1;
	uint64_t cost;

	/* Dividing 32 bits takes a fraction of the time that 64 bits take. */
	if (open_count <= UINT32_MAX / MILLI)
		cost = (uint32_t)open_count * MILLI / slot_count;
	else
		cost = open_count * MILLI / slot_count;
	if (now_ms < known->warm_ms)
		cost = cost * WARMING_COST_MILLI / MILLI;
	return cost < UINT32_MAX ? (uint32_t)cost : UINT32_MAX;
}
