#include "flood_state.h"

#define CLAIMS_TICK_MS 25
#define NOTICE_MS 2000
#define AFTER_MS 12000

static void tick_nodes(struct flood_fleet *fleet, int64_t now_ms)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		struct flood_node *node = &fleet->nodes[i];

		if (node->is_dead || node->is_paused)
			continue;
		if (node->next_ms <= now_ms || now_ms % CLAIMS_TICK_MS == 0)
			flood_node_tick(node, now_ms);
	}
}

/*
 * Crashes a node in the middle of the flood. NOTICE_MS later the others learn
 * of it, and a target drains.
 */
static void planned_events(struct flood_fleet *fleet, int64_t now_ms)
{
	int64_t middle_ms =
		(fleet->options.flood_start_ms + fleet->options.end_ms) / 2;

	if (!fleet->options.has_planned_events)
		return;
	if (now_ms == middle_ms)
		flood_fleet_stop_node(fleet, 0);
	if (now_ms == middle_ms + NOTICE_MS) {
		flood_fleet_tell_node_count(fleet);
		flood_fleet_publish_roster(fleet);
		flood_fleet_tell_target(fleet, 0, TARGET_LEAVING);
	}
}

/*
 * Reports a healthy target as failing every other second, and makes the last
 * target cold when the flood begins.
 */
static void liars(struct flood_fleet *fleet, int64_t now_ms)
{
	uint32_t last = fleet->options.target_count - 1;

	if (!fleet->options.has_liars)
		return;
	if (now_ms % 2000 == 0)
		flood_fleet_tell_target(fleet, 1, TARGET_FAILING);
	if (now_ms % 2000 == 1000)
		flood_fleet_tell_target(fleet, 1, TARGET_SERVING);
	if (now_ms == fleet->options.flood_start_ms) {
		fleet->targets[last].cold_jobs_left = 30;
		flood_fleet_tell_target(fleet, last, TARGET_COLD);
	}
}

static void measure_targets(struct flood_fleet *fleet, bool is_start)
{
	for (uint32_t i = 0; i < fleet->options.target_count; i++) {
		uint64_t busy_ms = fleet->targets[i].busy_ms;

		if (is_start)
			fleet->tally.target_busy_ms[i] = busy_ms;
		else
			fleet->tally.target_busy_ms[i] =
				busy_ms - fleet->tally.target_busy_ms[i];
	}
}

static void measure_capacity(struct flood_fleet *fleet, int64_t now_ms)
{
	int64_t middle_ms =
		(fleet->options.flood_start_ms + fleet->options.end_ms) / 2;
	bool has_left = fleet->options.has_planned_events &&
			now_ms >= middle_ms + NOTICE_MS;

	if (now_ms >= fleet->options.flood_start_ms)
		fleet->tally.capacity_work_ms +=
			(fleet->options.target_count - (has_left ? 1 : 0)) *
			fleet->options.slot_count;
}

/* Runs the fleet to the end in steps of 1 ms. */
void flood_fleet_run(struct flood_fleet *fleet)
{
	int64_t now_ms;

	for (now_ms = 1; now_ms <= fleet->options.end_ms; now_ms++) {
		driver_run_until(fleet->driver, now_ms);
		if (now_ms == fleet->options.flood_start_ms)
			measure_targets(fleet, true);
		planned_events(fleet, now_ms);
		liars(fleet, now_ms);
		if (fleet->options.has_chaos)
			flood_chaos_beat(fleet, now_ms);
		measure_capacity(fleet, now_ms);
		flood_callers_beat(fleet, now_ms);
		tick_nodes(fleet, now_ms);
	}
	measure_targets(fleet, false);
	/* Let open requests finish; false reports still count. */
	for (; now_ms <= fleet->options.end_ms + AFTER_MS; now_ms++) {
		driver_run_until(fleet->driver, now_ms);
		tick_nodes(fleet, now_ms);
	}
}
