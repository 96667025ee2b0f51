#include "decide_relay_ticks.h"

#include <core/relay_director.h>
#include <core/relay_tag.h>
#include <core/service.h>
#include <ctl/bench_clock.h>
#include <glib.h>

/* The relay task ticks so often, and at any tick a report may be due. */
#define TICK_MS 25
#define TICKS_PER_S (1000 / TICK_MS)
/* The minimum is reported: other load on the machine only adds time. */
#define SECOND_COUNT 20
#define ZONE_COUNT 3
#define SERVICE_COUNT 4
#define SLOT_COUNT 3
#define FLOW_COUNT 40
#define CLASS_COUNT 2
#define IDLE_TIMEOUT_MS 60000
#define CALLER_IPV4_FIRST 0x64400000U
#define TARGET_IPV4_FIRST 0x0a010001U
#define REPORT_ROWS_MAX 160
#define NS_PER_US 1000
/* 1.3% of a core is what all control of a node may cost. */
#define CONTROL_US_PER_S 13000

static const char *const addresses[CLASS_COUNT] = {"198.18.0.1:443",
						   "198.18.0.2:443"};

static const struct {
	const char *name;
	uint32_t target_count;
} rows[] = {
	{"relay_ticks_300_targets", 300},
	{"relay_ticks_1000_targets", 1000},
	{"relay_ticks_3000_targets", 3000},
	{"relay_ticks_5900_targets", 5900},
};

static void discard_moved(void *context, struct hash128 hash, uint32_t tag)
{
}

static uint32_t service_of(uint32_t number)
{
	static const char *const names[SERVICE_COUNT] = {"a", "b", "c", "d"};

	return service_id_from_name(names[number % SERVICE_COUNT]);
}

static void add_targets(struct relay_director *director, uint32_t target_count)
{
	for (uint32_t i = 0; i < target_count; i++) {
		struct target target = {
			.target_id = TARGET_IPV4_FIRST + i,
			.endpoint.addr = ip_addr_from_v4(TARGET_IPV4_FIRST + i),
			.endpoint.port = 80,
			.service_id = service_of(i),
			.zone_id = 1 + i / SERVICE_COUNT % ZONE_COUNT,
			.slot_count = SLOT_COUNT,
			.state = TARGET_SERVING,
		};

		relay_directory_put(relay_director_directory(director), &target,
				    0, 0);
	}
}

/* With two priorities, the room of each service is renewed too. */
static void add_routes(struct relay_director *director)
{
	struct relay_route_table *table =
		relay_route_table_new(1, IDLE_TIMEOUT_MS);

	for (uint32_t i = 0; i < CLASS_COUNT; i++) {
		struct relay_route route = {
			.priority = i,
			.share_count = 1,
			.shares = (struct relay_share[]){{service_of(i), 1}},
		};

		endpoint_parse(&route.address, addresses[i]);
		relay_route_table_add(table, &route);
	}
	relay_director_set_routes(director, table);
}

/* Each flow has a packet, which keeps it among the open ones. */
static void use_flows(struct relay_director *director, uint32_t target_count,
		      int64_t now_ms)
{
	for (uint32_t i = 0; i < FLOW_COUNT; i++) {
		struct relay_packet packet = {
			.tag = relay_tag_of(TARGET_IPV4_FIRST +
					    i * target_count / FLOW_COUNT),
		};

		packet.caller.addr = ip_addr_from_v4(CALLER_IPV4_FIRST + i);
		packet.caller.port = 1000;
		endpoint_parse(&packet.service, addresses[0]);
		relay_director_handle_packet(director, &packet, NULL, 0,
					     now_ms);
	}
}

static struct relay_director *make_director(uint32_t target_count)
{
	struct relay_director_options options = {
		.zone_id = 1,
		.flow_capacity = FLOW_COUNT,
		.flow_seed = 1,
		.random_seed = 1,
		.callbacks = {.flow_moved = discard_moved},
	};
	struct relay_director *director = relay_director_new(&options);

	add_targets(director, target_count);
	add_routes(director);
	return director;
}

/* Returns the time of a second's ticks, each with a report of open flows. */
static double time_ticks_ns(struct relay_director *director, int64_t now_ms)
{
	struct relay_load loads[REPORT_ROWS_MAX];
	double start_ns = bench_clock_now_ns();
	uint32_t row_count = 0;

	for (uint32_t i = 0; i < TICKS_PER_S; i++) {
		relay_director_tick(director, now_ms + i * TICK_MS);
		row_count = relay_loads_collect(relay_director_loads(director),
						loads, REPORT_ROWS_MAX);
	}
	g_assert(row_count == FLOW_COUNT);
	return bench_clock_now_ns() - start_ns;
}

static double measure_us(uint32_t target_count)
{
	struct relay_director *director = make_director(target_count);
	double min_ns = 0;

	for (uint32_t i = 0; i < SECOND_COUNT; i++) {
		int64_t now_ms = (int64_t)i * TICKS_PER_S * TICK_MS;
		double time_ns;

		use_flows(director, target_count, now_ms);
		time_ns = time_ticks_ns(director, now_ms);
		min_ns = i == 0 ? time_ns : MIN(min_ns, time_ns);
	}
	relay_director_free(director);
	return min_ns / NS_PER_US;
}

/* Reports what a second without packets costs, by the number of targets. */
void decide_relay_ticks_report(struct bench_report *report)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(rows); i++)
		bench_report_add(report, rows[i].name,
				 measure_us(rows[i].target_count), "us",
				 BOUND_AT_MOST, CONTROL_US_PER_S);
}
