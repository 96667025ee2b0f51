/* Memory and processor time of a node's state, by its size. */
#include "capacity_measures.h"

#include <core/claim_table.h>
#include <core/flow_director.h>
#include <core/home_map.h>
#include <ctl/bench_clock.h>
#include <malloc.h>
#include <netinet/in.h>

#define TARGETS_PER_RULE 13
#define CLAIM_LIFETIME_MS 600000
#define ZONE_COUNT 5

static double allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

/* Returns a rule line with a pool of typical size. Free it with g_free. */
static char *make_rule_line(uint32_t number)
{
	GString *line = g_string_new(NULL);

	g_string_append_printf(line,
			       "service-%u address=10.0.%u.%u:80 "
			       "protocol=http class=urgent pool=",
			       number, number >> 8, number & 0xff);
	for (uint32_t i = 0; i < TARGETS_PER_RULE; i++)
		g_string_append_printf(line, "%s10.%u.%u.%u:8080*3@north-a",
				       i ? "," : "", 1 + (number >> 8),
				       number & 0xff, i + 1);
	g_string_append(line, " # asked by Lin");
	return g_string_free(line, FALSE);
}

static struct rule_set *make_rules(uint32_t rule_count)
{
	struct rule_set *rules = rule_set_new(1);

	for (uint32_t i = 0; i < rule_count; i++) {
		char *line = make_rule_line(i);
		struct rule *rule = rule_parse(line, NULL);

		if (rule)
			rule_set_add(rules, rule);
		g_free(line);
	}
	return rules;
}

/* Returns the memory size, in bytes, of one rule set; each task has a copy. */
double capacity_rules_bytes(uint32_t rule_count)
{
	double before = allocated_bytes();
	struct rule_set *rules = make_rules(rule_count);
	double bytes = allocated_bytes() - before;

	rule_set_free(rules);
	return bytes;
}

/* Returns the time to parse all lines, as is done after every change. */
double capacity_rules_parse_ns(uint32_t rule_count)
{
	double start_ns = bench_clock_now_ns();

	rule_set_free(make_rules(rule_count));
	return bench_clock_now_ns() - start_ns;
}

static void discard_message(void *context, uint64_t to_node_id,
			    const struct flow_message *message)
{
}

static void open_flow(struct flow_director *director, uint32_t number)
{
	struct packet_event event = {.kind = PACKET_FIRST};

	event.key.protocol = IPPROTO_TCP;
	event.key.caller.addr = ip_addr_from_v4(number);
	event.key.caller.port = 1000;
	event.key.service.addr = ip_addr_from_v4(0x0a000000U);
	event.key.service.port = 80;
	flow_director_place_packet(director, &event, 1);
	event.kind = PACKET_MIDDLE;
	flow_director_place_packet(director, &event, 1);
}

/* Returns the bytes of a home whose flow table is full at flow_count flows. */
double capacity_flow_state_bytes(uint32_t flow_count)
{
	struct flow_director_options options = {
		.flow_capacity = flow_count,
		.callbacks = {.send = discard_message},
	};
	struct node self = {.node_id = 1, .zone_id = 1, .state = NODE_SERVING};
	struct node_view *view = node_view_new(1, 1, &self, 1);
	struct rule_set *rules = make_rules(1);
	struct flow_director *director = flow_director_new(&options);
	double bytes;

	flow_director_set_rules(director, rules, 0);
	flow_director_set_view(director, view, 0);
	for (uint32_t i = 0; i < flow_count; i++)
		open_flow(director, i);
	bytes = (double)flow_director_size_bytes(director);
	flow_director_free(director);
	node_view_free(view);
	rule_set_free(rules);
	return bytes;
}

/*
 * Returns the memory size, in bytes, of a holder's table of claim_count claims.
 */
double capacity_claims_bytes(uint32_t claim_count)
{
	struct claim_table_options options = {
		.capacity = claim_count,
		.lifetime_ms = CLAIM_LIFETIME_MS,
	};
	double before = allocated_bytes();
	struct claim_table *table = claim_table_new(&options);
	double bytes;

	for (uint32_t i = 0; i < claim_count; i++) {
		struct hash128 key = {.high = i, .low = i + 1};
		struct claim_token token = {.node_id = 1, .request_id = i};

		claim_table_claim(table, key, token, 0);
	}
	bytes = allocated_bytes() - before;
	claim_table_free(table);
	return bytes;
}

/* Returns the bytes of one node view and the home map built from it. */
double capacity_view_bytes(uint32_t node_count)
{
	struct node *nodes = g_new0(struct node, node_count);
	struct node_view *view;
	struct home_map *homes;
	double before;
	double bytes;

	for (uint32_t i = 0; i < node_count; i++) {
		nodes[i].node_id = i + 1;
		nodes[i].zone_id = i % ZONE_COUNT;
		nodes[i].state = NODE_SERVING;
	}
	before = allocated_bytes();
	view = node_view_new(1, 1, nodes, node_count);
	homes = home_map_new(view);
	bytes = allocated_bytes() - before;
	home_map_free(homes);
	node_view_free(view);
	g_free(nodes);
	return bytes;
}
