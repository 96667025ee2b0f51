#include <ctl/bench.h>

#include "decide_relay.h"
#include "decide_relay_ticks.h"

#include <core/flow_director.h>
#include <core/target_rank.h>
#include <ctl/bench_clock.h>
#include <netinet/in.h>

#define FLOW_COUNT 300000
#define TARGET_COUNT 15
#define NODE_COUNT 8
#define ZONE_COUNT 4
#define ROUND_COUNT 1000000
/* The minimum is reported: other load on the machine only adds time. */
#define REPEAT_COUNT 5
#define RANK_REPEAT_COUNT 1000000
/* Odd and far from a power of two, so that lookups scatter over the table. */
#define FLOW_STRIDE 100003
#define CONTROL_BYTES_PER_S 3000
#define SERVICE_IPV4 0x0a000001U
#define TARGET_IPV4_FIRST 0x0a010001U
#define KNOWN_PACKET_BOUND_NS 200
#define NEW_FLOW_BOUND_NS 2000
#define FLOW_BYTES_BOUND 64

static void discard_message(void *context, uint64_t to_node_id,
			    const struct flow_message *message)
{
}

static struct rule_set *make_rules(void)
{
	struct rule_set *rules = rule_set_new(1);
	struct rule *rule = g_new0(struct rule, 1);

	rule->service.service_id = 1;
	rule->generation = 1;
	rule->address_count = 1;
	rule->addresses = g_new0(struct endpoint, 1);
	rule->addresses[0].addr = ip_addr_from_v4(SERVICE_IPV4);
	rule->addresses[0].port = 80;
	rule->target_count = TARGET_COUNT;
	rule->targets = g_new0(struct target, TARGET_COUNT);
	for (uint32_t i = 0; i < TARGET_COUNT; i++) {
		struct target *target = &rule->targets[i];

		target->endpoint.addr = ip_addr_from_v4(TARGET_IPV4_FIRST + i);
		target->endpoint.port = 80;
		target->service_id = 1;
		target->weight = 3;
		target->target_id = target_id_of(target);
	}
	rule->comment = g_strdup("asked by the bench");
	rule_set_add(rules, rule);
	return rules;
}

/* With NODE_COUNT nodes, node 1 is the home of an eighth of the flows. */
static struct node_view *make_view(uint32_t node_count)
{
	struct node nodes[NODE_COUNT] = {{.node_id = 0}};

	for (uint32_t i = 0; i < node_count; i++) {
		nodes[i].node_id = i + 1;
		nodes[i].zone_id = i % ZONE_COUNT;
		nodes[i].state = NODE_SERVING;
	}
	return node_view_new(1, 1, nodes, node_count);
}

static struct flow_director *make_director(uint32_t node_count)
{
	struct flow_director_options options = {
		.flow_seed = 1,
		.flow_capacity = FLOW_COUNT,
		.control_bytes_per_s = CONTROL_BYTES_PER_S,
		.callbacks = {.send = discard_message},
	};
	struct flow_director *director = flow_director_new(&options);
	struct rule_set *rules = make_rules();
	struct node_view *view = make_view(node_count);

	flow_director_set_rules(director, rules, 0);
	flow_director_set_view(director, view, 0);
	node_view_free(view);
	rule_set_free(rules);
	return director;
}

static struct packet_event make_event(uint32_t flow_number,
				      enum packet_kind kind)
{
	struct packet_event event = {.kind = kind};

	event.key.protocol = IPPROTO_TCP;
	event.key.caller.addr = ip_addr_from_v4(flow_number);
	event.key.caller.port = 1000;
	event.key.service.addr = ip_addr_from_v4(SERVICE_IPV4);
	event.key.service.port = 80;
	return event;
}

/* Sends two packets for each new flow; returns the mean time per flow. */
static double open_flows(struct flow_director *director, uint32_t count)
{
	double start_ns = bench_clock_now_ns();

	for (uint32_t i = 0; i < count; i++) {
		struct packet_event first = make_event(i, PACKET_FIRST);
		struct packet_event second = make_event(i, PACKET_MIDDLE);

		flow_director_place_packet(director, &first, 1);
		flow_director_place_packet(director, &second, 1);
	}
	return (bench_clock_now_ns() - start_ns) / count;
}

static double time_known_packet_ns(struct flow_director *director)
{
	struct packet_event event = make_event(0, PACKET_MIDDLE);
	double start_ns = bench_clock_now_ns();
	uint32_t flow_number = 0;

	for (uint32_t i = 0; i < ROUND_COUNT; i++) {
		event.key.caller.addr = ip_addr_from_v4(flow_number);
		flow_director_place_packet(director, &event, 1);
		flow_number = (flow_number + FLOW_STRIDE) % FLOW_COUNT;
	}
	return (bench_clock_now_ns() - start_ns) / ROUND_COUNT;
}

static double measure_known_packet_ns(struct flow_director *director)
{
	double min_ns = time_known_packet_ns(director);

	for (uint32_t i = 1; i < REPEAT_COUNT; i++)
		min_ns = MIN(min_ns, time_known_packet_ns(director));
	return min_ns;
}

static double measure_rank_ns(void)
{
	volatile uint64_t sink = 0;
	double start_ns = bench_clock_now_ns();

	for (uint32_t i = 0; i < RANK_REPEAT_COUNT; i++) {
		for (uint32_t k = 0; k < TARGET_COUNT; k++)
			sink += target_rank_cost(k + 1, 3, i);
	}
	return (bench_clock_now_ns() - start_ns) / RANK_REPEAT_COUNT;
}

static void run(struct bench_report *report)
{
	struct flow_director *single_node = make_director(1);
	struct flow_director *cluster_node = make_director(NODE_COUNT);

	bench_report_add(report, "new_flow",
			 open_flows(single_node, FLOW_COUNT), "ns",
			 BOUND_AT_MOST, NEW_FLOW_BOUND_NS);
	bench_report_add(report, "flows_held",
			 flow_director_flow_count(single_node), "flows",
			 BOUND_AT_LEAST, FLOW_COUNT);
	bench_report_add(report, "known_flow_packet",
			 measure_known_packet_ns(single_node), "ns",
			 BOUND_AT_MOST, KNOWN_PACKET_BOUND_NS);
	open_flows(cluster_node, FLOW_COUNT);
	bench_report_add(report, "forwarded_packet",
			 measure_known_packet_ns(cluster_node), "ns",
			 BOUND_AT_MOST, KNOWN_PACKET_BOUND_NS);
	bench_report_add(report, "flow_state",
			 (double)flow_director_size_bytes(single_node) /
				 flow_director_flow_count(single_node),
			 "B a flow", BOUND_AT_MOST, FLOW_BYTES_BOUND);
	bench_report_add(report, "rank_of_15", measure_rank_ns(), "ns",
			 BOUND_NONE, 0);
	decide_relay_report(report);
	decide_relay_ticks_report(report);
	flow_director_free(single_node);
	flow_director_free(cluster_node);
}

const struct bench bench_decide = {
	"decide", "time per decision on one core, synthetic packets", run};
