#include "cases.h"

#include <signal.h>
#include <string.h>

#define ZONE_A 0
#define ZONE_B 1
#define ZONE_D 3
#define HOST_ID_FIRST 0x51a70001U
#define BACK_END_COUNT 9

static const char *const unsafe_kinds[] = {"unsafe", "unsafe"};
static const char *const safe_kinds[] = {"safe", "safe"};

static void add_hosts(struct world *world, int service, int zone, int count)
{
	for (int i = 0; i < count; i++)
		(void)host_add(world,
			       HOST_ID_FIRST +
				       (uint32_t)world->host_count * 7919U,
			       service, zone);
}

/* Writes the hosts and the first configuration before the nodes start. */
bool case_prepare(struct world *world, const char *name)
{
	static const int services[] = {0, 1};

	if (strcmp(name, "late-echo") == 0) {
		add_hosts(world, 0, ZONE_A, 6);
		return store_put_config(world, 3, services, unsafe_kinds, 1);
	}
	if (strcmp(name, "quiet-zone") == 0) {
		add_hosts(world, 0, ZONE_B, 17);
		add_hosts(world, 0, ZONE_D, 3);
		add_hosts(world, 1, ZONE_B, 2);
		add_hosts(world, 1, ZONE_D, 4);
		return store_put_config(world, 3, services, safe_kinds, 2);
	}
	if (strcmp(name, "nine-back-ends") == 0) {
		static const int both[] = {0, 0};

		for (int i = 0; i < BACK_END_COUNT; i++)
			add_hosts(world, i, ZONE_A, 1);
		return store_put_config(world, 3, both, safe_kinds, 2);
	}
	add_hosts(world, 0, ZONE_A, 1);
	add_hosts(world, 1, ZONE_A, 9);
	return store_put_config(world, 3, services, safe_kinds, 1);
}

/* FLOW (a): a reset that the flow's host did not send, while that host lives.
 */
static void check_reset(struct world *world, struct flow *flow, int sender)
{
	if (flow->host < 0 || sender == flow->host ||
	    world->hosts[flow->host].is_dark)
		return;
	world->misdirected_count++;
	world->is_broken = true;
	world_log(world, "broken FLOW port=%u", flow->port);
}

#define OPEN_INTERVAL_MS 20
#define OPEN_END_MS 38000
#define REQUEST_COUNT 8
#define LOSS_PPM 10000

struct late_echo {
	int64_t opened_ms;
	int rolled_count;
};

static void tick_late_echo(struct world *world, void *context)
{
	static const int64_t rolls_ms[] = {9000, 17000, 25000, 33000};
	struct late_echo *state = context;

	if (world_ms(world) < OPEN_END_MS &&
	    now_ms() - state->opened_ms >= OPEN_INTERVAL_MS) {
		state->opened_ms = now_ms();
		(void)flow_open(world, ZONE_A, 0, REQUEST_COUNT);
	}
	if (world->has_trouble && state->rolled_count < 4 &&
	    world_ms(world) >= rolls_ms[state->rolled_count])
		node_signal(world, state->rolled_count++ % 2, SIGTERM, true);
}

/* Nodes are stopped and started in turn while datagrams get lost at times. */
bool case_late_echo(struct world *world)
{
	struct late_echo state = {.opened_ms = 0};

	world->on_reset = check_reset;
	world->loss_ppm = LOSS_PPM;
	world_run(world, 45000, &state, tick_late_echo);
	return world->answered_count > 0;
}

#define CYCLE_MS 4000
#define SECOND_PHASE_MS 1600
#define FIRST_FLOW_COUNT 20
#define SECOND_FLOW_COUNT 6
#define CYCLE_START_MS 8000
#define FAILURE_MS (CYCLE_START_MS + 2 * CYCLE_MS - 400)
#define NODE_DARK_MS 3500
#define HOSTS_DARK_MS 4500
#define NODE_D 5

struct quiet_zone {
	int opened_count;
	int64_t first_ms;
	int64_t second_ms;
	bool is_failed;
	bool is_node_back;
	bool are_hosts_back;
};

static void ask_route(struct world *world, int route)
{
	for (int i = 0; i < FLOW_COUNT_MAX; i++) {
		struct flow *flow = &world->flows[i];

		if (flow->phase == FLOW_IDLE && flow->route == route)
			flow_request(world, flow);
	}
}

static void fail_rack(struct world *world)
{
	node_signal(world, NODE_D, SIGKILL, false);
	for (int i = 0; i < world->host_count; i++) {
		if (world->hosts[i].zone == ZONE_D &&
		    world->hosts[i].service == 0)
			host_crash(world, i);
	}
}

static void restore_rack(struct world *world, struct quiet_zone *state)
{
	if (!state->is_node_back &&
	    world_ms(world) >= FAILURE_MS + NODE_DARK_MS) {
		state->is_node_back = true;
		world->nodes[NODE_D].may_restart = true;
	}
	if (state->are_hosts_back ||
	    world_ms(world) < FAILURE_MS + HOSTS_DARK_MS)
		return;
	state->are_hosts_back = true;
	for (int i = 0; i < world->host_count; i++) {
		if (world->hosts[i].is_dark)
			host_return(world, i);
	}
}

static void tick_quiet_zone(struct world *world, void *context)
{
	struct quiet_zone *state = context;
	int64_t time_ms = world_ms(world);

	if (state->opened_count < FIRST_FLOW_COUNT + SECOND_FLOW_COUNT &&
	    time_ms >= 2000 + state->opened_count * 25) {
		(void)flow_open(world, ZONE_A,
				state->opened_count >= FIRST_FLOW_COUNT, 0);
		state->opened_count++;
	}
	if (time_ms >= state->first_ms) {
		ask_route(world, 0);
		state->first_ms += CYCLE_MS;
	}
	if (time_ms >= state->second_ms) {
		ask_route(world, 1);
		state->second_ms += CYCLE_MS;
	}
	if (!world->has_trouble)
		return;
	if (!state->is_failed && time_ms >= FAILURE_MS) {
		state->is_failed = true;
		fail_rack(world);
	}
	if (state->is_failed)
		restore_rack(world, state);
}

/*
 * The only node of a zone and three of its hosts lose power, while the flows to
 * its other hosts are idle.
 */
bool case_quiet_zone(struct world *world)
{
	struct quiet_zone state = {
		.first_ms = CYCLE_START_MS,
		.second_ms = CYCLE_START_MS + SECOND_PHASE_MS,
	};

	world->on_reset = check_reset;
	world_run(world, 32000, &state, tick_quiet_zone);
	return world->answered_count > 0;
}

#define CRASH_MS 6000
#define CHANGE_MS (CRASH_MS + 300)
#define RETURN_MS (CRASH_MS + 700)
#define ROLLBACK_SLACK_MS 250

/* When a host first saw the effect of the version through each node. */
static int64_t effects_ms[NODE_COUNT_MAX];

struct moved_route {
	int64_t opened_ms;
	bool is_crashed;
	bool is_changed;
	bool is_back;
};

/*
 * CONFIG: an opening packet that was sent more than the slack after a host saw
 * the effect of a version goes to the old service through the same node.
 */
static void check_service(struct world *world, struct flow *flow, int host)
{
	const struct node *node = router_pick(world, flow);
	int64_t *effect_ms = &effects_ms[node - world->nodes];
	int64_t sent_ms;

	if (host < 0)
		return;
	sent_ms = flow->copies_ms[host_copy_number(world, host, flow->port)];
	if (world->hosts[host].service == 1) {
		if (*effect_ms == 0)
			*effect_ms = now_ms();
		return;
	}
	if (*effect_ms == 0 || sent_ms <= *effect_ms + ROLLBACK_SLACK_MS)
		return;
	world->misdirected_count++;
	world->is_broken = true;
	world_log(world, "broken CONFIG port=%u node=%s after_ms=%d",
		  flow->port, node->name, (int)(sent_ms - *effect_ms));
}

static void tick_moved_route(struct world *world, void *context)
{
	static const int services[] = {1};
	struct moved_route *state = context;
	int64_t time_ms = world_ms(world);

	if (now_ms() - state->opened_ms >= 20 && time_ms < 12000) {
		state->opened_ms = now_ms();
		(void)flow_open(world, ZONE_A, 0, 1);
	}
	if (world->has_trouble && !state->is_crashed && time_ms >= CRASH_MS) {
		state->is_crashed = true;
		host_crash(world, 0);
	}
	if (!state->is_changed && time_ms >= CHANGE_MS) {
		state->is_changed = true;
		(void)store_put_config(world, 8, services, safe_kinds, 1);
	}
	if (state->is_crashed && !state->is_back && time_ms >= RETURN_MS) {
		state->is_back = true;
		host_return(world, 0);
	}
}

/* A route moves to another service while the host of the old one is away. */
bool case_moved_route(struct world *world)
{
	struct moved_route state = {.opened_ms = 0};

	world->on_open = check_service;
	world_run(world, 15000, &state, tick_moved_route);
	return world->answered_count > 0;
}

#define CONFIG_MS 5000
#define SPREAD_MS 6000

struct back_ends {
	int64_t opened_ms;
	int64_t acknowledged_ms;
};

static struct back_ends back_ends;

/* CONFIG: a request runs with a route that was dropped configMs ago. */
static void check_dropped(struct world *world, struct flow *flow, int host)
{
	int64_t sent_ms;

	if (host < 0 || flow->route != 1 || back_ends.acknowledged_ms == 0)
		return;
	sent_ms = flow->copies_ms[host_copy_number(world, host, flow->port)];
	if (sent_ms <= back_ends.acknowledged_ms + CONFIG_MS)
		return;
	world->misdirected_count++;
	world->is_broken = true;
	world_log(world, "broken CONFIG port=%u after_ms=%d", flow->port,
		  (int)(sent_ms - back_ends.acknowledged_ms));
}

static void tick_back_ends(struct world *world, void *context)
{
	struct back_ends *state = context;

	if (now_ms() - state->opened_ms >= 50 && world_ms(world) < 18000) {
		state->opened_ms = now_ms();
		(void)flow_open(world, ZONE_A, 0, 1);
		(void)flow_open(world, ZONE_A, 1, 1);
	}
	if (state->acknowledged_ms != 0 || world_ms(world) < SPREAD_MS)
		return;
	(void)store_put_back_ends(world, 8,
				  world->has_trouble ? BACK_END_COUNT
						     : BACK_END_COUNT - 1);
	state->acknowledged_ms = now_ms();
}

/* A route is spread over nine services, and another one is dropped. */
bool case_back_ends(struct world *world)
{
	world->on_open = check_dropped;
	world_run(world, 20000, &back_ends, tick_back_ends);
	return world->answered_count > 0;
}
