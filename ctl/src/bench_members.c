#include <ctl/bench.h>

#include <ctl/line_fit.h>
#include <fakes/member_fleet.h>
#include <glib.h>

#define SEED 7
#define ZONE_COUNT 5
/*
 * All nodes start at once and gossip about each other, so the time to converge
 * grows with the number of nodes.
 */
#define SETTLE_MS 20000
#define SETTLE_MS_PER_NODE 400
#define MS_PER_S 1000

#define CONTROL_BOUND_TODAY_BYTES_PER_S 4000
#define CONTROL_BOUND_TARGET_BYTES_PER_S 14000
#define NODE_COUNT_TODAY 8
#define NODE_COUNT_TARGET 355

static const uint32_t node_counts[] = {8, 16, 32, 64, 128, 256, 355};

#define POINT_COUNT G_N_ELEMENTS(node_counts)

/* Whether a node considers another a home, and how often that changed. */
struct home_seen {
	bool is_home;
	uint32_t flips;
};

/* The events and views that the nodes of a fleet reported. */
struct watch {
	bool is_measuring;
	uint32_t died_count;
	uint32_t false_death_count;
	uint64_t dead_node_id;
	int64_t first_ms;
	int64_t last_ms;
	uint32_t node_count;
	bool is_counting_flips;
	struct home_seen *homes;
	uint32_t flip_max;
	struct member_fleet *fleet;
};

static void on_event(void *context, uint32_t instance,
		     const struct member_event *event)
{
	struct watch *watch = context;
	int64_t now_ms;

	if (!watch->is_measuring || event->kind != MEMBER_EVENT_DIED)
		return;
	if (event->node_id != watch->dead_node_id) {
		watch->false_death_count++;
		return;
	}
	now_ms = driver_now_ms(member_fleet_driver(watch->fleet));
	if (watch->died_count++ == 0)
		watch->first_ms = now_ms;
	watch->last_ms = now_ms;
}

/* Serving nodes are homes, also while they are suspect. */
static bool may_be_home(const struct node *node)
{
	return node &&
	       (node->state == NODE_SERVING || node->state == NODE_SUSPECT);
}

/* Counts the changes between home and not home in one node's view. */
static void note_homes(struct watch *watch, uint32_t instance,
		       const struct node_view *view)
{
	for (uint32_t i = 0; i < watch->node_count; i++) {
		uint64_t node_id = member_fleet_node_id(watch->fleet, i);
		bool is_home = may_be_home(node_view_find(view, node_id));
		struct home_seen *seen =
			&watch->homes[instance * watch->node_count + i];

		if (watch->is_counting_flips && is_home != seen->is_home)
			seen->flips++;
		watch->flip_max = MAX(watch->flip_max, seen->flips);
		seen->is_home = is_home;
	}
}

static void on_view(void *context, uint32_t instance,
		    const struct node_view *view)
{
	struct watch *watch = context;

	if (watch->is_counting_flips)
		note_homes(watch, instance, view);
}

static struct watch *watch_new(uint32_t node_count, uint32_t loss_ppm)
{
	struct watch *watch = g_new0(struct watch, 1);
	struct member_fleet_options options = {
		.instance_count = node_count,
		.node_count = node_count,
		.zone_count = ZONE_COUNT,
		.seed = SEED,
		.link = {.delay_ms = 1, .jitter_ms = 1, .loss_ppm = loss_ppm},
		.context = watch,
		.event = on_event,
		.view_changed = on_view,
	};

	watch->node_count = node_count;
	watch->homes = g_new0(struct home_seen, node_count * node_count);
	watch->fleet = member_fleet_new(&options);
	driver_run_until(member_fleet_driver(watch->fleet),
			 SETTLE_MS + SETTLE_MS_PER_NODE * (int64_t)node_count);
	watch->is_measuring = true;
	return watch;
}

static void watch_free(struct watch *watch)
{
	member_fleet_free(watch->fleet);
	g_free(watch->homes);
	g_free(watch);
}

static void run_for(struct watch *watch, int64_t duration_ms)
{
	struct driver *driver = member_fleet_driver(watch->fleet);

	driver_run_until(driver, driver_now_ms(driver) + duration_ms);
}

static uint64_t bytes_of(const struct watch *watch, uint32_t instance)
{
	return member_fleet_sent_bytes(watch->fleet, instance) +
	       member_fleet_received_bytes(watch->fleet, instance);
}

static uint64_t bytes_of_all(const struct watch *watch, uint32_t node_count)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < node_count; i++)
		bytes += bytes_of(watch, i);
	return bytes;
}

#define IDLE_MS 20000

static double measure_idle(struct watch *watch, uint32_t node_count)
{
	uint64_t before = bytes_of_all(watch, node_count);

	run_for(watch, IDLE_MS);
	return (double)(bytes_of_all(watch, node_count) - before) * MS_PER_S /
	       node_count / IDLE_MS;
}

#define REPLACE_INTERVAL_MS 1000
#define REPLACE_COUNT 20

/*
 * Replaces one node per second, as in a rolling replacement of all VMs, and
 * returns the control bytes per second of a node that is not replaced.
 */
static double measure_replacing(struct watch *watch, uint32_t node_count)
{
	uint32_t stayer = node_count - 1;
	uint64_t before = bytes_of(watch, stayer);

	for (uint32_t i = 0; i < REPLACE_COUNT; i++) {
		uint32_t place = i % (node_count - 1);

		member_fleet_stop(watch->fleet, place);
		member_fleet_start(watch->fleet, place);
		run_for(watch, REPLACE_INTERVAL_MS);
	}
	return (double)(bytes_of(watch, stayer) - before) * MS_PER_S /
	       ((double)REPLACE_COUNT * REPLACE_INTERVAL_MS);
}

static void report_fit(struct bench_report *report, const char *kind,
		       const double *values)
{
	double x[POINT_COUNT];
	struct line_fit fit;
	char name[64];

	for (uint32_t i = 0; i < POINT_COUNT; i++)
		x[i] = node_counts[i];
	fit = line_fit_of(x, values, POINT_COUNT);
	g_snprintf(name, sizeof(name), "%s_bytes_base", kind);
	bench_report_figure(report, name, fit.base, "bytes/s/node", BOUND_NONE,
			    0);
	g_snprintf(name, sizeof(name), "%s_bytes_slope", kind);
	bench_report_figure(report, name, fit.slope, "bytes/s/node/node",
			    BOUND_NONE, 0);
	g_snprintf(name, sizeof(name), "%s_bytes_residual", kind);
	bench_report_figure(report, name, fit.residual, "bytes/s/node",
			    BOUND_NONE, 0);
}

static void report_bytes(struct bench_report *report, const char *kind,
			 uint32_t node_count, double value)
{
	bool is_today = node_count == NODE_COUNT_TODAY;
	char name[64];

	g_snprintf(name, sizeof(name), "%s_bytes.%u", kind, node_count);
	bench_report_figure(report, name, value, "bytes/s/node", BOUND_AT_MOST,
			    is_today ? CONTROL_BOUND_TODAY_BYTES_PER_S
				     : CONTROL_BOUND_TARGET_BYTES_PER_S);
}

#define DETECT_MS 30000

static void report_detection(struct bench_report *report, struct watch *watch,
			     uint32_t node_count)
{
	int64_t killed_ms = driver_now_ms(member_fleet_driver(watch->fleet));
	double last_s;
	char name[64];

	watch->dead_node_id =
		member_fleet_node_id(watch->fleet, node_count - 1);
	member_fleet_kill(watch->fleet, node_count - 1);
	run_for(watch, DETECT_MS);
	last_s = (double)(watch->last_ms - killed_ms) / MS_PER_S;
	g_snprintf(name, sizeof(name), "death_seen_by_all.%u", node_count);
	bench_report_figure(report, name,
			    watch->died_count == node_count - 1 ? last_s : -1,
			    "s", BOUND_AT_LEAST, 0);
}

#define CUT_MS 60000
#define FLIPS_OUT_AND_BACK 2

/*
 * Cuts a zone off, reconnects it, and reports the changes in the views of all
 * nodes inside and outside the zone.
 */
static void report_zone_cut(struct bench_report *report, struct watch *watch,
			    uint32_t node_count)
{
	char name[64];

	for (uint32_t i = 0; i < node_count; i++)
		note_homes(watch, i, member_fleet_view(watch->fleet, i));
	watch->is_counting_flips = true;
	member_fleet_cut_zone(watch->fleet, 1, true);
	run_for(watch, CUT_MS);
	member_fleet_cut_zone(watch->fleet, 1, false);
	run_for(watch, CUT_MS);
	watch->is_counting_flips = false;
	g_snprintf(name, sizeof(name), "flips_of_a_home_by_zone_cut.%u",
		   node_count);
	bench_report_figure(report, name, watch->flip_max, "flips",
			    BOUND_AT_MOST, FLIPS_OUT_AND_BACK);
	g_snprintf(name, sizeof(name), "agreed_after_zone_cut.%u", node_count);
	bench_report_figure(report, name,
			    member_fleet_is_converged(watch->fleet), "",
			    BOUND_AT_LEAST, 1);
}

#define LOSS_PPM 50000
#define LOSS_MS 600000
#define LOSS_NODE_COUNT 71

static void report_false_deaths(struct bench_report *report,
				uint32_t node_count)
{
	struct watch *watch = watch_new(node_count, LOSS_PPM);
	char name[64];

	run_for(watch, LOSS_MS);
	g_snprintf(name, sizeof(name), "false_deaths_at_5_percent_loss.%u",
		   node_count);
	bench_report_figure(report, name, watch->false_death_count,
			    "deaths/600s", BOUND_AT_MOST, 0);
	watch_free(watch);
}

static bool is_bound_size(uint32_t node_count)
{
	return node_count == NODE_COUNT_TODAY ||
	       node_count == NODE_COUNT_TARGET;
}

/* Runs all measurements of one size on the same fleet. */
static void measure_size(struct bench_report *report, uint32_t point,
			 double *idle, double *replacing)
{
	uint32_t node_count = node_counts[point];
	struct watch *watch = watch_new(node_count, 0);

	idle[point] = measure_idle(watch, node_count);
	report_bytes(report, "idle", node_count, idle[point]);
	if (is_bound_size(node_count))
		report_zone_cut(report, watch, node_count);
	replacing[point] = measure_replacing(watch, node_count);
	report_bytes(report, "replacing", node_count, replacing[point]);
	run_for(watch, SETTLE_MS);
	report_detection(report, watch, node_count);
	watch_free(watch);
}

static void run(struct bench_report *report)
{
	double idle[POINT_COUNT];
	double replacing[POINT_COUNT];

	for (uint32_t i = 0; i < POINT_COUNT; i++)
		measure_size(report, i, idle, replacing);
	report_fit(report, "idle", idle);
	report_fit(report, "replacing", replacing);
	report_false_deaths(report, NODE_COUNT_TODAY);
	report_false_deaths(report, LOSS_NODE_COUNT);
}

const struct bench bench_members = {
	"members", "membership: bytes per node, failure detection, zone cuts",
	run};
