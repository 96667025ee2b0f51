/* Tests that flows keep their targets while real nodes join and leave. */
#include "node_fixture.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <fakes/fake_target.h>
#include <fakes/test_main.h>
#include <stdatomic.h>
#include <string.h>

#define NODE_COUNT 3
#define TARGET_COUNT 4
#define FLOW_COUNT 24
#define POLL_INTERVAL_US 2000
#define POLL_COUNT_MAX 30000
#define RESEND_POLL_COUNT 500
#define KEY "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define CALLER_PORT_OFFSET 20
#define FLAGS_OFFSET 33
#define FLAG_SYN 0x02
#define FLAG_ACK 0x10

/* A TCP SYN packet from 192.0.2.1:1000 to 10.0.0.1:80. */
static const uint8_t packet_bytes[] = {
	0x45, 0,    0, 40, 0, 0, 0, 0, 64, 6, 0, 0, 192,  0, 2, 1, 10, 0, 0, 1,
	0x03, 0xe8, 0, 80, 0, 0, 0, 0, 0,  0, 0, 0, 0x50, 2, 0, 0, 0,  0, 0, 0,
};

struct fleet {
	struct fake_target *targets[TARGET_COUNT];
	struct node_fixture nodes[NODE_COUNT];
	bool is_running[NODE_COUNT];
	uint32_t running_node_count;
	char *key_directory;
	char *key_path;
	char *rules;
	uint32_t flow_targets[FLOW_COUNT];
	int fd;
};

static void start_targets(struct fleet *fleet)
{
	GString *rules = g_string_new("order-desk address=10.0.0.1:80 pool=");
	char text[ENDPOINT_TEXT_BYTES];

	for (uint32_t i = 0; i < TARGET_COUNT; i++) {
		struct fake_target_options options = {
			.name = "target", .listen = loopback_free_endpoint()};
		struct endpoint endpoint;

		fleet->targets[i] = fake_target_new(&options, NULL);
		ck_assert_ptr_nonnull(fleet->targets[i]);
		endpoint = fake_target_endpoint(fleet->targets[i]);
		g_string_append_printf(rules, "%s%s", i > 0 ? "," : "",
				       endpoint_format(&endpoint, text));
	}
	g_string_append(rules, " # asked by Lin Yu-ting\n");
	fleet->rules = g_string_free(rules, FALSE);
}

static void write_key(struct fleet *fleet)
{
	fleet->key_directory = g_dir_make_tmp("key_XXXXXX", NULL);
	fleet->key_path = g_build_filename(fleet->key_directory, "keys", NULL);
	ck_assert(g_file_set_contents_full(fleet->key_path, "1 " KEY "\n", -1,
					   G_FILE_SET_CONTENTS_NONE, 0600,
					   NULL));
}

static void start_node(struct fleet *fleet, uint32_t index)
{
	char text[ENDPOINT_TEXT_BYTES];
	GString *extra_settings = g_string_new(NULL);

	g_string_append_printf(extra_settings, "members: {key_file: %s",
			       fleet->key_path);
	if (index > 0)
		g_string_append_printf(
			extra_settings, ", seeds: \"%s\"",
			endpoint_format(
				&fleet->nodes[0].settings->listen_control,
				text));
	g_string_append(extra_settings, "}\n");
	node_fixture_start(&fleet->nodes[index], fleet->rules,
			   extra_settings->str);
	g_string_free(extra_settings, TRUE);
	fleet->is_running[index] = true;
	fleet->running_node_count++;
}

/* A read of the number of serving nodes from a node's metrics page. */
struct scrape {
	struct event_base *base;
	uint32_t serving_node_count;
};

static void on_metrics(struct evhttp_request *request, void *context)
{
	static const char name[] = "shallot_nodes{state=\"serving\"} ";
	struct scrape *scrape = context;
	struct evbuffer *body;
	char *text;
	const char *line;

	event_base_loopbreak(scrape->base);
	if (!request)
		return;
	body = evhttp_request_get_input_buffer(request);
	text = g_strndup((const char *)evbuffer_pullup(body, -1),
			 evbuffer_get_length(body));
	line = strstr(text, name);
	if (line)
		scrape->serving_node_count = (uint32_t)g_ascii_strtoull(
			line + strlen(name), NULL, 10);
	g_free(text);
}

static uint32_t count_serving_nodes(const struct node_fixture *node)
{
	struct scrape scrape = {.base = event_base_new()};
	char address[IP_ADDR_TEXT_BYTES];
	struct evhttp_connection *connection;
	struct evhttp_request *request;

	ip_addr_format(&node->settings->listen_admin.addr, address);
	connection = evhttp_connection_base_new(
		scrape.base, NULL, address, node->settings->listen_admin.port);
	request = evhttp_request_new(on_metrics, &scrape);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  "node");
	evhttp_make_request(connection, request, EVHTTP_REQ_GET, "/metrics");
	event_base_dispatch(scrape.base);
	evhttp_connection_free(connection);
	event_base_free(scrape.base);
	return scrape.serving_node_count;
}

/* Waits until every running node counts all running nodes as serving. */
static void wait_until_all_known(const struct fleet *fleet)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		uint32_t tries = 0;

		while (fleet->is_running[i] &&
		       count_serving_nodes(&fleet->nodes[i]) !=
			       fleet->running_node_count) {
			ck_assert_uint_lt(tries++, POLL_COUNT_MAX / 100);
			g_usleep(100 * POLL_INTERVAL_US);
		}
	}
}

static uint32_t next_running_node(const struct fleet *fleet, uint32_t node)
{
	do {
		node = (node + 1) % NODE_COUNT;
	} while (!fleet->is_running[node]);
	return node;
}

static void send_once(struct fleet *fleet, uint32_t flow, uint32_t node,
		      uint8_t flags)
{
	uint8_t bytes[sizeof(packet_bytes)];
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(
		&storage, &fleet->nodes[node].settings->listen_packets);

	memcpy(bytes, packet_bytes, sizeof(bytes));
	bytes[CALLER_PORT_OFFSET + 1] = (uint8_t)flow;
	bytes[FLAGS_OFFSET] = flags;
	ck_assert_int_eq(sendto(fleet->fd, bytes, sizeof(bytes), 0,
				(struct sockaddr *)&storage, length),
			 sizeof(bytes));
}

/*
 * Sends a packet to a node and returns the target that receives it. The packet
 * is sent again every RESEND_POLL_COUNT polls, because a node drops the packets
 * of a flow while it does not know which target the flow belongs to.
 */
static uint32_t send_packet(struct fleet *fleet, uint32_t flow, uint32_t node,
			    uint8_t flags)
{
	uint64_t before[TARGET_COUNT];

	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		before[i] = fake_target_packet_count(fleet->targets[i]);
	for (uint32_t polls = 0; polls < POLL_COUNT_MAX; polls++) {
		if (polls % RESEND_POLL_COUNT == 0)
			send_once(fleet, flow, node, flags);
		for (uint32_t i = 0; i < TARGET_COUNT; i++) {
			if (fake_target_packet_count(fleet->targets[i]) >
			    before[i])
				return i;
		}
		g_usleep(POLL_INTERVAL_US);
	}
	ck_abort_msg("flow %u: no target got its packet", flow);
	return TARGET_COUNT;
}

static void open_flows(struct fleet *fleet)
{
	uint32_t node = 0;

	for (uint32_t i = 0; i < FLOW_COUNT; i++) {
		node = next_running_node(fleet, node);
		fleet->flow_targets[i] = send_packet(fleet, i, node, FLAG_SYN);
	}
}

/* Checks that each flow's packets reach its target through any node. */
static void check_flows(struct fleet *fleet)
{
	for (uint32_t i = 0; i < FLOW_COUNT; i++) {
		for (uint32_t node = 0; node < NODE_COUNT; node++) {
			if (!fleet->is_running[node])
				continue;
			ck_assert_uint_eq(send_packet(fleet, i, node, FLAG_ACK),
					  fleet->flow_targets[i]);
		}
	}
}

static void on_drained(void *context, bool is_drained)
{
	atomic_store((atomic_int *)context, is_drained ? 1 : -1);
}

static void drain_node(struct fleet *fleet, uint32_t index)
{
	atomic_int drain_result = 0;
	struct shallotd_drain_options options = {.context = &drain_result,
						 .on_done = on_drained};

	ck_assert(shallotd_drain(fleet->nodes[index].daemon, &options, NULL));
	for (uint32_t i = 0;
	     i < POLL_COUNT_MAX && atomic_load(&drain_result) == 0; i++)
		g_usleep(POLL_INTERVAL_US);
	ck_assert_int_eq(atomic_load(&drain_result), 1);
	check_flows(fleet);
	node_fixture_stop(&fleet->nodes[index]);
	fleet->is_running[index] = false;
	fleet->running_node_count--;
}

static void setup(struct fleet *fleet, uint32_t node_count)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->fd = socket(AF_INET, SOCK_DGRAM, 0);
	start_targets(fleet);
	write_key(fleet);
	for (uint32_t i = 0; i < node_count; i++)
		start_node(fleet, i);
	wait_until_all_known(fleet);
	open_flows(fleet);
	check_flows(fleet);
}

static void teardown(struct fleet *fleet)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (fleet->is_running[i])
			node_fixture_stop(&fleet->nodes[i]);
	}
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		fake_target_free(fleet->targets[i]);
	g_unlink(fleet->key_path);
	g_rmdir(fleet->key_directory);
	g_free(fleet->key_path);
	g_free(fleet->key_directory);
	g_free(fleet->rules);
	close(fleet->fd);
}

static void change_nothing(struct fleet *fleet)
{
}

static void leave(struct fleet *fleet)
{
	drain_node(fleet, 1);
}

static void join(struct fleet *fleet)
{
	start_node(fleet, 2);
}

static void join_and_leave(struct fleet *fleet)
{
	start_node(fleet, 2);
	wait_until_all_known(fleet);
	drain_node(fleet, 1);
}

/* The number of nodes at the start, and the change that the flows survive. */
static const struct {
	const char *name;
	uint32_t node_count;
	void (*change)(struct fleet *fleet);
} rows[] = {
	{"three-nodes", 3, change_nothing},
	{"node-leaves", 3, leave},
	{"node-joins", 2, join},
	{"node-replaced", 2, join_and_leave},
};

START_TEST(test_flows)
{
	struct fleet fleet;

	test_row("flows", rows[_i].name);
	setup(&fleet, rows[_i].node_count);
	rows[_i].change(&fleet);
	check_flows(&fleet);
	wait_until_all_known(&fleet);
	check_flows(&fleet);
	teardown(&fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flows");
	TCase *tcase = tcase_create("flows");

	tcase_set_timeout(tcase, 240);
	tcase_add_loop_test(tcase, test_flows, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
