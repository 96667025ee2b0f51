/* Random faults of the flood benchmark, drawn from the seed of the run. */
#include "flood_state.h"

#define PPM_MAX 1000000
#define LOSS_PPM 50000
#define DUPLICATE_PPM 20000
#define PAUSE_MIN_MS 200
#define PAUSE_MAX_MS 4000
#define REPLACE_DELAY_MS 2000
#define PARTITION_MAX_MS 3000
#define DOWN_NODES_MAX 2
#define RESTART_COLD_JOBS 10
#define JITTER_MS 2
#define RESET_PPM_MAX 20000
#define RESPONSE_LOSS_PPM_MAX 10000
#define TRUNCATION_PPM_MAX 5000

/* A kind of fault, and its probability in each millisecond. */
struct chaos_fault {
	uint32_t probability_ppm;
	void (*start)(struct flood_fleet *fleet, uint32_t random_number);
};

static uint32_t random_below(struct flood_fleet *fleet, uint32_t below)
{
	return (uint32_t)g_rand_int_range(driver_rand(fleet->driver), 0,
					  (gint32)below);
}

static void publish_live_nodes(void *context)
{
	struct flood_fleet *fleet = context;

	flood_fleet_publish_roster(fleet);
	flood_fleet_send_node_count(fleet);
}

/* Returns whether a majority of the roster stays up without one more node. */
static bool can_take_down_node(const struct flood_fleet *fleet)
{
	uint32_t down_count = 0;

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		if (fleet->nodes[i].is_dead || fleet->nodes[i].is_paused)
			down_count++;
	}
	return down_count < DOWN_NODES_MAX;
}

static void replace_node(void *context)
{
	struct flood_node *node = context;
	struct flood_fleet *fleet = node->fleet;

	if (!node->is_dead)
		return;
	flood_fleet_start_node(fleet, node->index);
	publish_live_nodes(fleet);
}

static void kill_node(struct flood_fleet *fleet, uint32_t random_number)
{
	struct flood_node *node =
		&fleet->nodes[random_number % fleet->options.node_count];

	if (node->is_dead || node->is_paused || !can_take_down_node(fleet))
		return;
	flood_fleet_stop_node(fleet, node->index);
	driver_schedule(fleet->driver, random_below(fleet, REPLACE_DELAY_MS),
			fleet, publish_live_nodes);
	driver_schedule(fleet->driver,
			REPLACE_DELAY_MS +
				random_below(fleet, REPLACE_DELAY_MS),
			node, replace_node);
}

static void resume_node(void *context)
{
	struct flood_node *node = context;

	node->is_paused = false;
	driver_pause(node->fleet->driver, node->index, false);
}

static void pause_node(struct flood_fleet *fleet, uint32_t random_number)
{
	struct flood_node *node =
		&fleet->nodes[random_number % fleet->options.node_count];

	if (node->is_dead || node->is_paused || !can_take_down_node(fleet))
		return;
	node->is_paused = true;
	driver_pause(fleet->driver, node->index, true);
	driver_schedule(
		fleet->driver,
		PAUSE_MIN_MS + random_below(fleet, PAUSE_MAX_MS - PAUSE_MIN_MS),
		node, resume_node);
}

static void set_zone_partition(struct flood_fleet *fleet, uint32_t zone_id,
			       bool is_partitioned)
{
	uint32_t count = fleet->options.node_count;

	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t j = 0; j < count; j++) {
			bool i_in = fleet->nodes[i].zone_id == zone_id;
			bool j_in = fleet->nodes[j].zone_id == zone_id;

			if (i_in != j_in)
				driver_link(fleet->driver, i, j)->is_cut =
					is_partitioned;
		}
	}
}

static void end_zone_partitions(void *context)
{
	struct flood_fleet *fleet = context;

	for (uint32_t i = 0; i < fleet->options.zone_count; i++)
		set_zone_partition(fleet, i + 1, false);
}

static void partition_zone(struct flood_fleet *fleet, uint32_t random_number)
{
	set_zone_partition(fleet, 1 + random_number % fleet->options.zone_count,
			   true);
	driver_schedule(fleet->driver,
			random_below(fleet, PARTITION_MAX_MS) + 1, fleet,
			end_zone_partitions);
}

static void restart_target(void *context)
{
	struct flood_target *target = context;

	target->is_dead = false;
	target->cold_jobs_left = RESTART_COLD_JOBS;
}

static void kill_target(struct flood_fleet *fleet, uint32_t random_number)
{
	struct flood_target *target =
		&fleet->targets[random_number % fleet->options.target_count];

	target->is_dead = true;
	driver_schedule(fleet->driver,
			random_below(fleet, REPLACE_DELAY_MS) + 1, target,
			restart_target);
}

static void drain_target(struct flood_fleet *fleet, uint32_t random_number)
{
	flood_fleet_send_target_state(
		fleet, random_number % fleet->options.target_count,
		random_number % 2 ? TARGET_LEAVING : TARGET_SERVING);
}

/* Publishes a roster of the live nodes: a new epoch if they have changed. */
static void change_roster(struct flood_fleet *fleet, uint32_t random_number)
{
	publish_live_nodes(fleet);
}

static const struct chaos_fault faults[] = {
	{400, kill_node},   {400, pause_node},	 {200, partition_zone},
	{300, kill_target}, {300, drain_target}, {100, change_roster},
};

static void set_links(struct flood_fleet *fleet)
{
	uint32_t count = fleet->options.node_count;

	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t j = 0; j < count; j++) {
			struct driver_link *link =
				driver_link(fleet->driver, i, j);

			if (i == j)
				continue;
			link->jitter_ms = JITTER_MS;
			link->loss_ppm = LOSS_PPM;
			link->duplicate_ppm = DUPLICATE_PPM;
		}
	}
}

static void set_targets(struct flood_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->options.target_count; i++) {
		fleet->targets[i].reset_ppm =
			random_below(fleet, RESET_PPM_MAX);
		fleet->targets[i].response_loss_ppm =
			random_below(fleet, RESPONSE_LOSS_PPM_MAX);
		fleet->targets[i].truncation_ppm =
			random_below(fleet, TRUNCATION_PPM_MAX);
	}
}

/* Starts the random faults of one millisecond. */
void flood_chaos_tick(struct flood_fleet *fleet, int64_t now_ms)
{
	if (now_ms == 1) {
		set_links(fleet);
		set_targets(fleet);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (random_below(fleet, PPM_MAX) < faults[i].probability_ppm)
			faults[i].start(fleet, random_below(fleet, UINT16_MAX));
	}
}
