#include "flow_fleet_state.h"

/* Returns the highest rate that a node sent at over ten seconds. */
double flow_fleet_control_bytes_per_s(const struct flow_fleet *fleet)
{
	double peak = 0;

	for (uint32_t i = 0; i < fleet->node_count; i++)
		peak = MAX(peak, fleet->nodes[i].peak_bytes_per_s);
	return peak;
}

/* Returns the bytes that all nodes have sent. */
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

/* Returns max/mean of the flows by weight over the first service's pool. */
double flow_fleet_imbalance(const struct flow_fleet *fleet)
{
	double most = 0;
	double sum = 0;
	double weight_sum = 0;

	for (uint32_t i = 0; i < fleet->pool_count; i++) {
		uint32_t number = fleet->pool_first + i;
		double weight =
			i == 0 ? fleet->weight_of_first : FLEET_SLOT_COUNT;
		double flows = fleet->flow_counts[number];

		if (fleet->leaving_since_ms[number] > 0)
			continue;
		most = MAX(most, flows / weight);
		sum += flows;
		weight_sum += weight;
	}
	return sum > 0 ? most / (sum / weight_sum) : 0;
}

/* Returns the number of flows that are placed now. */
uint32_t flow_fleet_flow_count(const struct flow_fleet *fleet)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < TARGET_NUMBERS; i++)
		count += fleet->flow_counts[i];
	return count;
}

/* Returns what was counted since the start. */
struct flow_fleet_counts flow_fleet_counts(const struct flow_fleet *fleet)
{
	return fleet->counts;
}

/* Returns the driver, for a row to change links. */
struct driver *flow_fleet_driver(struct flow_fleet *fleet)
{
	return fleet->driver;
}

/* Returns virtual time. */
int64_t flow_fleet_now_ms(const struct flow_fleet *fleet)
{
	return fleet->step_ms;
}
