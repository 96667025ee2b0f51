/* Runs a fleet of memberships under injected faults, on a virtual clock. */
#include <fakes/member_fleet.h>
#include <fakes/test_main.h>
#include <string.h>

#include "membership_rows.h"

/* What the nodes reported during a run. */
struct run {
	const struct row *row;
	struct member_fleet *fleet;
	bool is_paused[INSTANCE_COUNT_MAX];
	bool is_measuring;
	uint32_t false_death_count;
	uint32_t event_counts[MEMBER_EVENT_KIND_COUNT];
	uint64_t home_digests[INSTANCE_COUNT_MAX];
	uint32_t home_change_counts[INSTANCE_COUNT_MAX];
	bool is_home[INSTANCE_COUNT_MAX][INSTANCE_COUNT_MAX];
	uint32_t flip_counts[INSTANCE_COUNT_MAX][INSTANCE_COUNT_MAX];
	bool has_decided_dead;
};

static bool is_active(const struct run *run, uint64_t node_id)
{
	for (uint32_t i = 0; i < INSTANCE_COUNT_MAX; i++) {
		if (member_fleet_node_id(run->fleet, i) == node_id)
			return member_fleet_is_running(run->fleet, i) &&
			       !run->is_paused[i];
	}
	return false;
}

static void on_event(void *context, uint32_t instance,
		     const struct member_event *event)
{
	struct run *run = context;

	if (!run->is_measuring)
		return;
	run->event_counts[event->kind]++;
	if (event->kind == MEMBER_EVENT_DIED && is_active(run, event->node_id))
		run->false_death_count++;
}

/* Nodes that serve, suspect or not, can be the home of flows. */
static bool can_be_home(const struct node *node)
{
	return node &&
	       (node->state == NODE_SERVING || node->state == NODE_SUSPECT);
}

static void count_flips(struct run *run, uint32_t viewer,
			const struct node_view *view)
{
	/*
	 * run->fleet is NULL during member_fleet_new, which already reports
	 * views.
	 */
	for (uint32_t i = 0; run->fleet && i < run->row->node_count; i++) {
		uint64_t node_id = member_fleet_node_id(run->fleet, i);
		bool is_home = can_be_home(node_view_find(view, node_id));

		if (run->is_measuring && is_home != run->is_home[viewer][i])
			run->flip_counts[viewer][i]++;
		run->is_home[viewer][i] = is_home;
	}
}

static uint64_t home_digest(const struct node_view *view)
{
	uint64_t digest = 0;

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);

		if (can_be_home(node))
			digest ^= node_rendezvous_score(node->node_id, 0);
	}
	return digest;
}

static void on_view(void *context, uint32_t instance,
		    const struct node_view *view)
{
	struct run *run = context;
	uint64_t digest = home_digest(view);

	if (run->is_measuring && digest != run->home_digests[instance])
		run->home_change_counts[instance]++;
	run->home_digests[instance] = digest;
	count_flips(run, instance, view);
}

static void set_link_cut(struct run *run, uint32_t a, uint32_t b, bool is_cut)
{
	driver_link(member_fleet_driver(run->fleet), a, b)->is_cut = is_cut;
}

static void set_isolated(struct run *run, uint32_t a, bool is_cut)
{
	for (uint32_t b = 0; b < INSTANCE_COUNT_MAX; b++) {
		if (a == b)
			continue;
		set_link_cut(run, a, b, is_cut);
		set_link_cut(run, b, a, is_cut);
	}
}

static void act_start(struct run *run, const struct step *step)
{
	member_fleet_start(run->fleet, step->a);
}

static void act_kill(struct run *run, const struct step *step)
{
	member_fleet_kill(run->fleet, step->a);
}

static void act_leave(struct run *run, const struct step *step)
{
	member_fleet_leave(run->fleet, step->a);
}

static void act_stop(struct run *run, const struct step *step)
{
	member_fleet_stop(run->fleet, step->a);
}

static void act_pause(struct run *run, const struct step *step)
{
	run->is_paused[step->a] = step->action == ACT_PAUSE;
	member_fleet_pause(run->fleet, step->a, step->action == ACT_PAUSE);
}

static void act_partition_zone(struct run *run, const struct step *step)
{
	member_fleet_cut_zone(run->fleet, step->a,
			      step->action == ACT_PARTITION_ZONE);
}

static void act_link(struct run *run, const struct step *step)
{
	set_link_cut(run, step->a, step->b, step->action == ACT_CUT_LINK);
}

static void act_isolate(struct run *run, const struct step *step)
{
	set_isolated(run, step->a, step->action == ACT_ISOLATE);
}

static void act_set_loss(struct run *run, const struct step *step)
{
	for (uint32_t a = 0; a < INSTANCE_COUNT_MAX; a++) {
		for (uint32_t b = 0; b < INSTANCE_COUNT_MAX; b++)
			driver_link(member_fleet_driver(run->fleet), a, b)
				->loss_ppm = step->a;
	}
}

static void (*const actions[ACT_COUNT])(struct run *, const struct step *) = {
	[ACT_START] = act_start,
	[ACT_KILL] = act_kill,
	[ACT_LEAVE] = act_leave,
	[ACT_STOP] = act_stop,
	[ACT_PAUSE] = act_pause,
	[ACT_RESUME] = act_pause,
	[ACT_PARTITION_ZONE] = act_partition_zone,
	[ACT_HEAL_ZONE] = act_partition_zone,
	[ACT_CUT_LINK] = act_link,
	[ACT_HEAL_LINK] = act_link,
	[ACT_ISOLATE] = act_isolate,
	[ACT_RECONNECT] = act_isolate,
	[ACT_SET_LOSS] = act_set_loss,
};

#define START_MS 15000

static void run_row(struct run *run, uint64_t seed)
{
	const struct row *row = run->row;
	struct member_fleet_options options = {
		.instance_count = INSTANCE_COUNT_MAX,
		.node_count = row->node_count,
		.zone_count = row->zone_count,
		.seed = seed,
		.link = {.delay_ms = 1, .jitter_ms = 2, .duplicate_ppm = 10000},
		.context = run,
		.event = on_event,
		.view_changed = on_view,
	};
	struct driver *driver;

	run->fleet = member_fleet_new(&options);
	driver = member_fleet_driver(run->fleet);
	driver_run_until(driver, MIN(START_MS, row->end_ms));
	run->is_measuring = true;
	for (uint32_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		const struct step *step = &steps[i];

		if (strcmp(step->row, row->name) != 0)
			continue;
		driver_run_until(driver, step->at_ms);
		actions[step->action](run, step);
	}
	driver_run_until(driver, row->end_ms);
}

static bool has_own_steps(const struct run *run, uint32_t instance)
{
	for (uint32_t s = 0; s < G_N_ELEMENTS(steps); s++) {
		bool is_zone = steps[s].action == ACT_PARTITION_ZONE ||
			       steps[s].action == ACT_HEAL_ZONE;

		if (!is_zone && steps[s].a == instance &&
		    strcmp(steps[s].row, run->row->name) == 0)
			return true;
	}
	return false;
}

static uint32_t home_change_max(const struct run *run)
{
	uint32_t max = 0;

	for (uint32_t i = 0; i < run->row->node_count; i++) {
		if (!has_own_steps(run, i))
			max = MAX(max, run->home_change_counts[i]);
	}
	return max;
}

static uint32_t home_flip_max(const struct run *run)
{
	uint32_t max = 0;

	for (uint32_t i = 0; i < run->row->node_count; i++) {
		if (has_own_steps(run, i))
			continue;
		for (uint32_t k = 0; k < run->row->node_count; k++)
			max = MAX(max, run->flip_counts[i][k]);
	}
	return max;
}

static void check_run(const struct run *run, uint64_t seed)
{
	const struct row *row = run->row;
	const uint32_t *counts = run->event_counts;

	ck_assert_msg(member_fleet_is_converged(run->fleet),
		      "%s, seed %u: views differ", row->name, (unsigned)seed);
	ck_assert_msg(run->false_death_count <= row->false_death_max,
		      "%s, seed %u: %u false deaths", row->name, (unsigned)seed,
		      run->false_death_count);
	ck_assert_msg(counts[MEMBER_EVENT_DIED] >= row->died_min,
		      "%s, seed %u: %u deaths", row->name, (unsigned)seed,
		      counts[MEMBER_EVENT_DIED]);
	ck_assert_msg(counts[MEMBER_EVENT_ZONE_CUT] >= row->zone_partition_min,
		      "%s, seed %u: %u nodes detected the partition", row->name,
		      (unsigned)seed, counts[MEMBER_EVENT_ZONE_CUT]);
	ck_assert_msg(
		counts[MEMBER_EVENT_DECLARED_DEAD] >= row->declared_dead_min,
		"%s, seed %u: %u nodes learned that they were declared dead",
		row->name, (unsigned)seed, counts[MEMBER_EVENT_DECLARED_DEAD]);
	ck_assert_msg(home_change_max(run) <= row->home_change_max,
		      "%s, seed %u: homes changed %u times", row->name,
		      (unsigned)seed, home_change_max(run));
	ck_assert_msg(home_flip_max(run) <= row->home_flip_max,
		      "%s, seed %u: a home flipped %u times", row->name,
		      (unsigned)seed, home_flip_max(run));
}

START_TEST(test_fleet)
{
	const struct row *row = &rows[_i];

	test_row("membership", row->name);
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct run run = {.row = row};

		run_row(&run, seed);
		check_run(&run, seed);
		member_fleet_free(run.fleet);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership");
	TCase *tcase = tcase_create("fleet");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_fleet, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
