/* Random faults of the flood benchmark, drawn from the seed of the run. */
#include "flood_state.h"

#define PPM 1000000
#define LOSS_PPM 50000
#define DUPLICATE_PPM 20000
#define PAUSE_LEAST_MS 200
#define PAUSE_MOST_MS 4000
#define REPLACE_MS 2000
#define CUT_MS 3000

/* A kind of fault, and its probability in each millisecond. */
struct chaos_fault {
	uint32_t ppm;
	void (*begin)(struct flood_fleet *fleet, uint32_t pick);
};

static uint32_t draw(struct flood_fleet *fleet, uint32_t below)
{
	return (uint32_t)g_rand_int_range(driver_rand(fleet->driver), 0,
					  (gint32)below);
}

static void publish(void *context)
{
	struct flood_fleet *fleet = context;

	flood_fleet_publish_roster(fleet);
	flood_fleet_tell_node_count(fleet);
}

/* Whether a majority of the roster stays up if one more node goes down. */
static bool can_spare(const struct flood_fleet *fleet)
{
	uint32_t away_count = 0;

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		if (fleet->nodes[i].is_dead || fleet->nodes[i].is_paused)
			away_count++;
	}
	return away_count < 2;
}

static void replace(void *context)
{
	struct flood_node *node = context;
	struct flood_fleet *fleet = node->fleet;

	if (!node->is_dead)
		return;
	flood_fleet_start_node(fleet, node->index);
	publish(fleet);
}

static void kill_node(struct flood_fleet *fleet, uint32_t pick)
{
	struct flood_node *node =
		&fleet->nodes[pick % fleet->options.node_count];

	if (node->is_dead || node->is_paused || !can_spare(fleet))
		return;
	flood_fleet_stop_node(fleet, node->index);
	driver_after(fleet->driver, draw(fleet, REPLACE_MS), fleet, publish);
	driver_after(fleet->driver, REPLACE_MS + draw(fleet, REPLACE_MS), node,
		     replace);
}

static void wake(void *context)
{
	struct flood_node *node = context;

	node->is_paused = false;
	driver_pause(node->fleet->driver, node->index, false);
}

static void pause_node(struct flood_fleet *fleet, uint32_t pick)
{
	struct flood_node *node =
		&fleet->nodes[pick % fleet->options.node_count];

	if (node->is_dead || node->is_paused || !can_spare(fleet))
		return;
	node->is_paused = true;
	driver_pause(fleet->driver, node->index, true);
	driver_after(fleet->driver,
		     PAUSE_LEAST_MS +
			     draw(fleet, PAUSE_MOST_MS - PAUSE_LEAST_MS),
		     node, wake);
}

static void set_cut(struct flood_fleet *fleet, uint32_t zone_id, bool is_cut)
{
	uint32_t count = fleet->options.node_count;

	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t j = 0; j < count; j++) {
			bool i_in = fleet->nodes[i].zone_id == zone_id;
			bool j_in = fleet->nodes[j].zone_id == zone_id;

			if (i_in != j_in)
				driver_link(fleet->driver, i, j)->is_cut =
					is_cut;
		}
	}
}

static void heal(void *context)
{
	struct flood_fleet *fleet = context;

	for (uint32_t i = 0; i < fleet->options.zone_count; i++)
		set_cut(fleet, i + 1, false);
}

static void cut_zone(struct flood_fleet *fleet, uint32_t pick)
{
	set_cut(fleet, 1 + pick % fleet->options.zone_count, true);
	driver_after(fleet->driver, draw(fleet, CUT_MS) + 1, fleet, heal);
}

static void revive(void *context)
{
	struct flood_target *target = context;

	target->is_dead = false;
	target->cold_jobs_left = 10;
}

static void kill_target(struct flood_fleet *fleet, uint32_t pick)
{
	struct flood_target *target =
		&fleet->targets[pick % fleet->options.target_count];

	target->is_dead = true;
	driver_after(fleet->driver, draw(fleet, REPLACE_MS) + 1, target,
		     revive);
}

static void drain_target(struct flood_fleet *fleet, uint32_t pick)
{
	flood_fleet_tell_target(fleet, pick % fleet->options.target_count,
				pick % 2 ? TARGET_LEAVING : TARGET_SERVING);
}

/* Publishes a roster of the live nodes: a new epoch if they have changed. */
static void change_roster(struct flood_fleet *fleet, uint32_t pick)
{
	publish(fleet);
}

static const struct chaos_fault faults[] = {
	{400, kill_node},   {400, pause_node},	 {200, cut_zone},
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
			link->jitter_ms = 2;
			link->loss_ppm = LOSS_PPM;
			link->duplicate_ppm = DUPLICATE_PPM;
		}
	}
}

static void set_targets(struct flood_fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->options.target_count; i++) {
		fleet->targets[i].reset_ppm = draw(fleet, 20000);
		fleet->targets[i].lose_ppm = draw(fleet, 10000);
		fleet->targets[i].truncate_ppm = draw(fleet, 5000);
	}
}

/* Starts the random faults of one millisecond. */
void flood_chaos_beat(struct flood_fleet *fleet, int64_t now_ms)
{
	if (now_ms == 1) {
		set_links(fleet);
		set_targets(fleet);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (draw(fleet, PPM) < faults[i].ppm)
			faults[i].begin(fleet, draw(fleet, UINT16_MAX));
	}
}
