#include "flow_fleet_state.h"

/* Returns the highest control traffic rate of any node over RATE_WINDOW_S. */
double flow_fleet_peak_control_bytes_per_s(const struct flow_fleet *fleet)
{
	double peak = 0;

	for (uint32_t i = 0; i < fleet->node_count; i++)
		peak = MAX(peak, fleet->nodes[i].peak_bytes_per_s);
	return peak;
}

/* Returns the number of bytes of control traffic sent by all nodes. */
uint64_t flow_fleet_control_bytes(const struct flow_fleet *fleet)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < fleet->node_count; i++) {
		if (fleet->nodes[i].director)
			bytes += flow_director_sent_bytes(
				fleet->nodes[i].director);
	}
	return bytes;
}

/*
 * Returns the maximum number of flows per weight of a target in the first
 * service's pool, relative to the mean. Leaving targets are excluded.
 */
double flow_fleet_imbalance(const struct flow_fleet *fleet)
{
	double max_load = 0;
	double sum = 0;
	double weight_sum = 0;

	for (uint32_t i = 0; i < fleet->pool_count; i++) {
		uint32_t number = fleet->pool_first + i;
		double weight =
			i == 0 ? fleet->first_target_weight : TARGET_SLOT_COUNT;
		double flows = fleet->flow_counts[number];

		if (fleet->leaving_since_ms[number] > 0)
			continue;
		max_load = MAX(max_load, flows / weight);
		sum += flows;
		weight_sum += weight;
	}
	return sum > 0 ? max_load / (sum / weight_sum) : 0;
}

/* Returns the number of open flows that have a target. */
uint32_t flow_fleet_flow_count(const struct flow_fleet *fleet)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < TARGET_NUMBER_COUNT; i++)
		count += fleet->flow_counts[i];
	return count;
}

/* Returns the counts since the start. */
struct flow_fleet_counts flow_fleet_counts(const struct flow_fleet *fleet)
{
	return fleet->counts;
}

/* Returns the driver, so that a test case can change its links. */
struct driver *flow_fleet_driver(struct flow_fleet *fleet)
{
	return fleet->driver;
}

/* Returns the virtual time of the current step. */
int64_t flow_fleet_now_ms(const struct flow_fleet *fleet)
{
	return fleet->now_ms;
}
