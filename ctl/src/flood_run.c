#include "flood_state.h"

#define CLAIM_TICK_MS 25
#define DETECTION_DELAY_MS 2000
#define COMPLETION_MS 12000
#define HEALTH_FLAP_PERIOD_MS 2000
#define START_COLD_JOBS 30

static void tick_nodes(struct flood_fleet *fleet, int64_t now_ms)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		struct flood_node *node = &fleet->nodes[i];

		if (node->is_dead || node->is_paused)
			continue;
		if (node->next_tick_ms <= now_ms || now_ms % CLAIM_TICK_MS == 0)
			flood_node_tick(node, now_ms);
	}
}

/*
 * Crashes a node in the middle of the flood. DETECTION_DELAY_MS later, the
 * other nodes learn of it and a target drains.
 */
static void start_planned_events(struct flood_fleet *fleet, int64_t now_ms)
{
	int64_t middle_ms =
		(fleet->options.flood_start_ms + fleet->options.end_ms) / 2;

	if (!fleet->options.has_planned_events)
		return;
	if (now_ms == middle_ms)
		flood_fleet_stop_node(fleet, 0);
	if (now_ms == middle_ms + DETECTION_DELAY_MS) {
		flood_fleet_send_node_count(fleet);
		flood_fleet_publish_roster(fleet);
		flood_fleet_send_target_state(fleet, 0, TARGET_LEAVING);
	}
}

/*
 * Reports a healthy target alternately as failing and as serving, each for half
 * of HEALTH_FLAP_PERIOD_MS, and makes the last target cold when the flood
 * begins.
 */
static void report_false_health(struct flood_fleet *fleet, int64_t now_ms)
{
	uint32_t last = fleet->options.target_count - 1;

	if (!fleet->options.has_false_health)
		return;
	if (now_ms % HEALTH_FLAP_PERIOD_MS == 0)
		flood_fleet_send_target_state(fleet, 1, TARGET_FAILING);
	if (now_ms % HEALTH_FLAP_PERIOD_MS == HEALTH_FLAP_PERIOD_MS / 2)
		flood_fleet_send_target_state(fleet, 1, TARGET_SERVING);
	if (now_ms == fleet->options.flood_start_ms) {
		fleet->targets[last].cold_jobs_left = START_COLD_JOBS;
		flood_fleet_send_target_state(fleet, last, TARGET_COLD);
	}
}

/* Called at the start and at the end of the measurement. */
static void record_busy_times(struct flood_fleet *fleet, bool is_start)
{
	for (uint32_t i = 0; i < fleet->options.target_count; i++) {
		uint64_t busy_ms = fleet->targets[i].busy_ms;

		if (is_start)
			fleet->stats.target_busy_ms[i] = busy_ms;
		else
			fleet->stats.target_busy_ms[i] =
				busy_ms - fleet->stats.target_busy_ms[i];
	}
}

static void add_capacity(struct flood_fleet *fleet, int64_t now_ms)
{
	int64_t middle_ms =
		(fleet->options.flood_start_ms + fleet->options.end_ms) / 2;
	bool is_draining = fleet->options.has_planned_events &&
			   now_ms >= middle_ms + DETECTION_DELAY_MS;

	if (now_ms >= fleet->options.flood_start_ms)
		fleet->stats.capacity_work_ms +=
			(fleet->options.target_count - (is_draining ? 1 : 0)) *
			fleet->options.slot_count;
}

/* Runs the fleet to the end in steps of 1 ms. */
void flood_fleet_run(struct flood_fleet *fleet)
{
	int64_t now_ms;

	for (now_ms = 1; now_ms <= fleet->options.end_ms; now_ms++) {
		driver_run_until(fleet->driver, now_ms);
		if (now_ms == fleet->options.flood_start_ms)
			record_busy_times(fleet, true);
		start_planned_events(fleet, now_ms);
		report_false_health(fleet, now_ms);
		if (fleet->options.has_chaos)
			flood_chaos_tick(fleet, now_ms);
		add_capacity(fleet, now_ms);
		flood_callers_tick(fleet, now_ms);
		tick_nodes(fleet, now_ms);
	}
	record_busy_times(fleet, false);
	/* Let open requests finish; violations still count. */
	for (; now_ms <= fleet->options.end_ms + COMPLETION_MS; now_ms++) {
		driver_run_until(fleet->driver, now_ms);
		tick_nodes(fleet, now_ms);
	}
}
