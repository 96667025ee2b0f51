#include "decide_relay.h"

#include <core/relay_director.h>
#include <core/relay_tag.h>
#include <core/service.h>
#include <ctl/bench_clock.h>
#include <glib.h>

/* A node's share at the design size: 18 million open flows on 710 nodes. */
#define FLOW_COUNT 25400
#define TARGET_COUNT 60
#define ROUND_COUNT 1000000
/* The minimum is reported: other load on the machine only adds time. */
#define REPEAT_COUNT 5
/* Odd and far from a power of two, so that lookups scatter over the table. */
#define FLOW_STRIDE 10007
#define OWN_ZONE 1
#define ZONE_COUNT 2
/* With so many nodes in its zone, targets are chosen by turns. */
#define NODE_COUNT 18
#define SLOT_COUNT 32
#define IDLE_TIMEOUT_MS 60000
#define SERVICE_ADDRESS "198.18.0.1:443"
#define CALLER_IPV4_FIRST 0x64400000U
#define TARGET_IPV4_FIRST 0x0a010001U
#define OPENING_BYTES 34
/* The users' requirements on the forwarding path. */
#define KNOWN_PACKET_BOUND_NS 200
#define NEW_FLOW_BOUND_NS 2000

static void discard_resend(void *context, const struct relay_verdict *verdict,
			   const uint8_t *bytes, uint32_t length_bytes)
{
}

static void discard_moved(void *context, struct hash128 hash, uint32_t tag)
{
}

static void discard_avoidance(void *context, uint64_t target_id,
			      uint32_t zone_id)
{
}

static void add_targets(struct relay_director *director, uint32_t target_count)
{
	for (uint32_t i = 0; i < target_count; i++) {
		struct target target = {
			.target_id = TARGET_IPV4_FIRST + i,
			.endpoint.addr = ip_addr_from_v4(TARGET_IPV4_FIRST + i),
			.endpoint.port = 80,
			.service_id = service_id_from_name("s"),
			.zone_id = OWN_ZONE + i % ZONE_COUNT,
			.slot_count = SLOT_COUNT,
			.state = TARGET_SERVING,
		};

		relay_directory_put(relay_director_directory(director), &target,
				    0, 0);
	}
}

static void add_route(struct relay_director *director)
{
	struct relay_route_table *table =
		relay_route_table_new(1, IDLE_TIMEOUT_MS);
	struct relay_route route = {
		.share_count = 1,
		.shares =
			(struct relay_share[]){{service_id_from_name("s"), 1}},
	};

	endpoint_parse(&route.address, SERVICE_ADDRESS);
	relay_route_table_add(table, &route);
	relay_director_set_routes(director, table);
}

static struct relay_director *make_director(uint32_t target_count)
{
	struct relay_director_options options = {
		.zone_id = OWN_ZONE,
		.flow_capacity = 2 * FLOW_COUNT,
		.flow_seed = 1,
		.random_seed = 1,
		.callbacks = {.resend_opening = discard_resend,
			      .flow_moved = discard_moved,
			      .avoidance_started = discard_avoidance},
	};
	struct relay_director *director = relay_director_new(&options);

	add_targets(director, target_count);
	relay_director_set_node_count(director, NODE_COUNT);
	add_route(director);
	return director;
}

static struct relay_packet make_packet(uint32_t flow_number)
{
	struct relay_packet packet = {.sequence = flow_number};

	packet.caller.addr = ip_addr_from_v4(CALLER_IPV4_FIRST + flow_number);
	packet.caller.port = 1000;
	endpoint_parse(&packet.service, SERVICE_ADDRESS);
	return packet;
}

/* Opens FLOW_COUNT flows; returns the mean time per opening packet. */
static double open_flows(struct relay_director *director, uint32_t *tags)
{
	uint8_t bytes[OPENING_BYTES] = {0};
	struct relay_packet packet = make_packet(0);
	double start_ns = bench_clock_now_ns();

	packet.is_opening = true;
	for (uint32_t i = 0; i < FLOW_COUNT; i++) {
		packet.caller.addr = ip_addr_from_v4(CALLER_IPV4_FIRST + i);
		packet.sequence = i;
		tags[i] = relay_director_handle_packet(director, &packet, bytes,
						       sizeof(bytes), 1)
				  .tag;
	}
	return (bench_clock_now_ns() - start_ns) / FLOW_COUNT;
}

static double time_known_packet_ns(struct relay_director *director,
				   const uint32_t *tags)
{
	struct relay_packet packet = make_packet(0);
	uint32_t flow_number = 0;
	double start_ns = bench_clock_now_ns();

	for (uint32_t i = 0; i < ROUND_COUNT; i++) {
		packet.caller.addr =
			ip_addr_from_v4(CALLER_IPV4_FIRST + flow_number);
		packet.tag = tags[flow_number];
		relay_director_handle_packet(director, &packet, NULL, 0, 2);
		flow_number = (flow_number + FLOW_STRIDE) % FLOW_COUNT;
	}
	return (bench_clock_now_ns() - start_ns) / ROUND_COUNT;
}

static double measure_new_flow_ns(uint32_t target_count)
{
	uint32_t *tags = g_new0(uint32_t, FLOW_COUNT);
	double min_ns = 0;

	for (uint32_t i = 0; i < REPEAT_COUNT; i++) {
		struct relay_director *director = make_director(target_count);
		double time_ns = open_flows(director, tags);

		min_ns = i == 0 ? time_ns : MIN(min_ns, time_ns);
		relay_director_free(director);
	}
	g_free(tags);
	return min_ns;
}

static double measure_known_packet_ns(void)
{
	uint32_t *tags = g_new0(uint32_t, FLOW_COUNT);
	struct relay_director *director = make_director(TARGET_COUNT);
	double min_ns = 0;

	open_flows(director, tags);
	for (uint32_t i = 0; i < REPEAT_COUNT; i++) {
		double time_ns = time_known_packet_ns(director, tags);

		min_ns = i == 0 ? time_ns : MIN(min_ns, time_ns);
	}
	relay_director_free(director);
	g_free(tags);
	return min_ns;
}

static const struct {
	const char *name;
	uint32_t target_count;
} new_flow_rows[] = {
	{"relay_new_flow", TARGET_COUNT},
	{"relay_new_flow_14_targets", 14},
	{"relay_new_flow_120_targets", 120},
	{"relay_new_flow_480_targets", 480},
};

/* Reports the decision times of a node that forwards by target tag. */
void decide_relay_report(struct bench_report *report)
{
	bench_report_add(report, "relay_known_packet",
			 measure_known_packet_ns(), "ns", BOUND_AT_MOST,
			 KNOWN_PACKET_BOUND_NS);
	for (uint32_t i = 0; i < G_N_ELEMENTS(new_flow_rows); i++)
		bench_report_add(
			report, new_flow_rows[i].name,
			measure_new_flow_ns(new_flow_rows[i].target_count),
			"ns", BOUND_AT_MOST, NEW_FLOW_BOUND_NS);
}
