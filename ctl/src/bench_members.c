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

#define CURRENT_CONTROL_BOUND_BYTES_PER_S 4000
#define DESIGN_CONTROL_BOUND_BYTES_PER_S 14000
#define CURRENT_NODE_COUNT 8
#define DESIGN_NODE_COUNT 355

static const uint32_t node_counts[] = {8, 16, 32, 64, 128, 256, 355};

#define POINT_COUNT G_N_ELEMENTS(node_counts)

/* Whether a node considers another a home, and how often that changed. */
struct home_observation {
	bool is_home;
	uint32_t flip_count;
};

/* The events and views that the nodes of a fleet reported. */
struct observer {
	bool is_measuring;
	uint32_t death_count;
	uint32_t false_death_count;
	uint64_t killed_node_id;
	int64_t first_death_ms;
	int64_t last_death_ms;
	uint32_t node_count;
	bool is_counting_flips;
	struct home_observation *homes;
	uint32_t flip_count_max;
	struct member_fleet *fleet;
};

static void on_event(void *context, uint32_t instance,
		     const struct member_event *event)
{
	struct observer *observer = context;
	int64_t now_ms;

	if (!observer->is_measuring || event->kind != MEMBER_EVENT_DIED)
		return;
	if (event->node_id != observer->killed_node_id) {
		observer->false_death_count++;
		return;
	}
	now_ms = driver_now_ms(member_fleet_driver(observer->fleet));
	if (observer->death_count++ == 0)
		observer->first_death_ms = now_ms;
	observer->last_death_ms = now_ms;
}

/* Serving nodes are homes, also while they are suspect. */
static bool counts_as_home(const struct node *node)
{
	return node &&
	       (node->state == NODE_SERVING || node->state == NODE_SUSPECT);
}

/* Counts how often nodes become or stop being homes in one node's view. */
static void record_homes(struct observer *observer, uint32_t instance,
			 const struct node_view *view)
{
	for (uint32_t i = 0; i < observer->node_count; i++) {
		uint64_t node_id = member_fleet_node_id(observer->fleet, i);
		bool is_home = counts_as_home(node_view_find(view, node_id));
		struct home_observation *observation =
			&observer->homes[instance * observer->node_count + i];

		if (observer->is_counting_flips &&
		    is_home != observation->is_home)
			observation->flip_count++;
		observer->flip_count_max =
			MAX(observer->flip_count_max, observation->flip_count);
		observation->is_home = is_home;
	}
}

static void on_view(void *context, uint32_t instance,
		    const struct node_view *view)
{
	struct observer *observer = context;

	if (observer->is_counting_flips)
		record_homes(observer, instance, view);
}

static struct observer *observer_new(uint32_t node_count, uint32_t loss_ppm)
{
	struct observer *observer = g_new0(struct observer, 1);
	struct member_fleet_options options = {
		.instance_count = node_count,
		.node_count = node_count,
		.zone_count = ZONE_COUNT,
		.seed = SEED,
		.link = {.delay_ms = 1, .jitter_ms = 1, .loss_ppm = loss_ppm},
		.context = observer,
		.event = on_event,
		.view_changed = on_view,
	};

	observer->node_count = node_count;
	observer->homes =
		g_new0(struct home_observation, node_count * node_count);
	observer->fleet = member_fleet_new(&options);
	driver_run_until(member_fleet_driver(observer->fleet),
			 SETTLE_MS + SETTLE_MS_PER_NODE * (int64_t)node_count);
	observer->is_measuring = true;
	return observer;
}

static void observer_free(struct observer *observer)
{
	member_fleet_free(observer->fleet);
	g_free(observer->homes);
	g_free(observer);
}

static void run_for(struct observer *observer, int64_t duration_ms)
{
	struct driver *driver = member_fleet_driver(observer->fleet);

	driver_run_until(driver, driver_now_ms(driver) + duration_ms);
}

static uint64_t node_bytes(const struct observer *observer, uint32_t instance)
{
	return member_fleet_sent_bytes(observer->fleet, instance) +
	       member_fleet_received_bytes(observer->fleet, instance);
}

static uint64_t total_bytes(const struct observer *observer,
			    uint32_t node_count)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < node_count; i++)
		bytes += node_bytes(observer, i);
	return bytes;
}

#define IDLE_RUN_MS 20000

static double measure_idle(struct observer *observer, uint32_t node_count)
{
	uint64_t before = total_bytes(observer, node_count);

	run_for(observer, IDLE_RUN_MS);
	return (double)(total_bytes(observer, node_count) - before) * MS_PER_S /
	       node_count / IDLE_RUN_MS;
}

#define REPLACE_INTERVAL_MS 1000
#define REPLACE_COUNT 20

/*
 * Replaces one node per second, as in a rolling replacement of all VMs, and
 * returns the control bytes per second of a node that is not replaced.
 */
static double measure_replacement(struct observer *observer,
				  uint32_t node_count)
{
	uint32_t kept_node = node_count - 1;
	uint64_t before = node_bytes(observer, kept_node);

	for (uint32_t i = 0; i < REPLACE_COUNT; i++) {
		uint32_t instance = i % (node_count - 1);

		member_fleet_stop(observer->fleet, instance);
		member_fleet_start(observer->fleet, instance);
		run_for(observer, REPLACE_INTERVAL_MS);
	}
	return (double)(node_bytes(observer, kept_node) - before) * MS_PER_S /
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
	fit = line_fit_least_squares(x, values, POINT_COUNT);
	g_snprintf(name, sizeof(name), "%s_bytes_base", kind);
	bench_report_add(report, name, fit.intercept, "bytes/s/node",
			 BOUND_NONE, 0);
	g_snprintf(name, sizeof(name), "%s_bytes_slope", kind);
	bench_report_add(report, name, fit.slope, "bytes/s/node/node",
			 BOUND_NONE, 0);
	g_snprintf(name, sizeof(name), "%s_bytes_residual", kind);
	bench_report_add(report, name, fit.residual, "bytes/s/node", BOUND_NONE,
			 0);
}

static void report_bytes(struct bench_report *report, const char *kind,
			 uint32_t node_count, double value)
{
	bool is_current_size = node_count == CURRENT_NODE_COUNT;
	char name[64];

	g_snprintf(name, sizeof(name), "%s_bytes.%u", kind, node_count);
	bench_report_add(report, name, value, "bytes/s/node", BOUND_AT_MOST,
			 is_current_size ? CURRENT_CONTROL_BOUND_BYTES_PER_S
					 : DESIGN_CONTROL_BOUND_BYTES_PER_S);
}

#define DETECTION_RUN_MS 30000

static void report_detection(struct bench_report *report,
			     struct observer *observer, uint32_t node_count)
{
	int64_t killed_ms = driver_now_ms(member_fleet_driver(observer->fleet));
	double last_s;
	char name[64];

	observer->killed_node_id =
		member_fleet_node_id(observer->fleet, node_count - 1);
	member_fleet_kill(observer->fleet, node_count - 1);
	run_for(observer, DETECTION_RUN_MS);
	/* -1 misses the bound: some node didn't detect the death. */
	last_s = (double)(observer->last_death_ms - killed_ms) / MS_PER_S;
	g_snprintf(name, sizeof(name), "death_seen_by_all.%u", node_count);
	bench_report_add(report, name,
			 observer->death_count == node_count - 1 ? last_s : -1,
			 "s", BOUND_AT_LEAST, 0);
}

#define PARTITION_MS 60000
/* A partition makes a node stop being a home once and become one again. */
#define PARTITION_FLIPS_MAX 2

/*
 * Partitions a zone, reconnects it, and reports the changes in the views of all
 * nodes inside and outside the zone.
 */
static void report_partition(struct bench_report *report,
			     struct observer *observer, uint32_t node_count)
{
	char name[64];

	for (uint32_t i = 0; i < node_count; i++)
		record_homes(observer, i,
			     member_fleet_view(observer->fleet, i));
	observer->is_counting_flips = true;
	member_fleet_cut_zone(observer->fleet, 1, true);
	run_for(observer, PARTITION_MS);
	member_fleet_cut_zone(observer->fleet, 1, false);
	run_for(observer, PARTITION_MS);
	observer->is_counting_flips = false;
	g_snprintf(name, sizeof(name), "flips_of_a_home_by_zone_cut.%u",
		   node_count);
	bench_report_add(report, name, observer->flip_count_max, "flips",
			 BOUND_AT_MOST, PARTITION_FLIPS_MAX);
	g_snprintf(name, sizeof(name), "agreed_after_zone_cut.%u", node_count);
	bench_report_add(report, name,
			 member_fleet_is_converged(observer->fleet), "",
			 BOUND_AT_LEAST, 1);
}

#define LOSS_PPM 50000
#define LOSS_RUN_MS 600000
#define LOSS_NODE_COUNT 71

static void report_false_deaths(struct bench_report *report,
				uint32_t node_count)
{
	struct observer *observer = observer_new(node_count, LOSS_PPM);
	char name[64];

	run_for(observer, LOSS_RUN_MS);
	g_snprintf(name, sizeof(name), "false_deaths_at_5_percent_loss.%u",
		   node_count);
	bench_report_add(report, name, observer->false_death_count,
			 "deaths/600s", BOUND_AT_MOST, 0);
	observer_free(observer);
}

static bool is_bounded_size(uint32_t node_count)
{
	return node_count == CURRENT_NODE_COUNT ||
	       node_count == DESIGN_NODE_COUNT;
}

/* Runs all measurements of one size on the same fleet. */
static void measure_size(struct bench_report *report, uint32_t point,
			 double *idle_bytes_per_s,
			 double *replacement_bytes_per_s)
{
	uint32_t node_count = node_counts[point];
	struct observer *observer = observer_new(node_count, 0);

	idle_bytes_per_s[point] = measure_idle(observer, node_count);
	report_bytes(report, "idle", node_count, idle_bytes_per_s[point]);
	if (is_bounded_size(node_count))
		report_partition(report, observer, node_count);
	replacement_bytes_per_s[point] =
		measure_replacement(observer, node_count);
	report_bytes(report, "replacing", node_count,
		     replacement_bytes_per_s[point]);
	run_for(observer, SETTLE_MS);
	report_detection(report, observer, node_count);
	observer_free(observer);
}

static void run(struct bench_report *report)
{
	double idle_bytes_per_s[POINT_COUNT];
	double replacement_bytes_per_s[POINT_COUNT];

	for (uint32_t i = 0; i < POINT_COUNT; i++)
		measure_size(report, i, idle_bytes_per_s,
			     replacement_bytes_per_s);
	report_fit(report, "idle", idle_bytes_per_s);
	report_fit(report, "replacing", replacement_bytes_per_s);
	report_false_deaths(report, CURRENT_NODE_COUNT);
	report_false_deaths(report, LOSS_NODE_COUNT);
}

const struct bench bench_members = {
	"members", "membership: bytes per node, failure detection, partitions",
	run};
