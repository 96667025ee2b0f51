#include <core/relay_target.h>

#include <glib.h>

#define MILLI_PER_UNIT 1000

/* During its warm-up a target takes about 1.6 times as long for a flow. */
#define WARMUP_COST_FACTOR_MILLI 1600

/* Returns whether the target may get new flows, regardless of its health. */
bool relay_target_accepts_new_flows(const struct relay_target *entry,
				    int64_t now_ms)
{
	if (entry->grace_end_ms != 0)
		return now_ms < entry->grace_end_ms;
	return entry->target.state == TARGET_SERVING ||
	       entry->target.state == TARGET_COLD;
}

static uint32_t cost_milli(const struct relay_target *entry,
			   uint64_t open_count, int64_t now_ms)
{
	uint32_t slot_count =
		entry->target.slot_count ? entry->target.slot_count : 1;
	uint64_t cost;

	/* A 32-bit division is several times faster than a 64-bit one. */
	if (open_count <= UINT32_MAX / MILLI_PER_UNIT)
		cost = (uint32_t)open_count * MILLI_PER_UNIT / slot_count;
	else
		cost = open_count * MILLI_PER_UNIT / slot_count;
	if (now_ms < entry->warmup_end_ms)
		cost = cost * WARMUP_COST_FACTOR_MILLI / MILLI_PER_UNIT;
	return cost < UINT32_MAX ? (uint32_t)cost : UINT32_MAX;
}

/*
 * Returns the share of the target's slots that would be in use with one more
 * flow, in thousandths; above 1000 the flow would have to wait.
 */
uint32_t relay_target_cost_milli(const struct relay_target *entry,
				 int64_t now_ms)
{
	return cost_milli(entry,
			  (uint64_t)entry->own_open_count +
				  entry->peer_open_count + 1,
			  now_ms);
}

/*
 * Returns a load of the target with the time that its requests take taken into
 * account.
 */
uint32_t relay_target_paced_milli(const struct relay_target *entry,
				  uint32_t cost_milli)
{
	uint64_t paced_milli = (uint64_t)cost_milli * entry->pace_milli;

	if (entry->pace_milli == 0)
		return cost_milli;
	return (uint32_t)MIN(paced_milli / MILLI_PER_UNIT, UINT32_MAX);
}

/*
 * Returns the cost of one more flow by the flows of this node alone, with the
 * time that requests take.
 */
uint32_t relay_target_own_cost_milli(const struct relay_target *entry,
				     int64_t now_ms)
{
	return relay_target_paced_milli(
		entry,
		cost_milli(entry, (uint64_t)entry->own_open_count + 1, now_ms));
}
