/* Tests that a node forwards requests and packets to a target. */
#include "node_fixture.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <fakes/fake_target.h>
#include <fakes/test_main.h>

#define POLL_INTERVAL_US 1000
#define POLL_COUNT_MAX 10000

/* A TCP SYN from 192.0.2.1:1000 to 10.0.0.1:80. */
static const uint8_t syn[] = {
	0x45, 0,    0, 40, 0, 0, 0, 0, 64, 6, 0, 0, 192,  0, 2, 1, 10, 0, 0, 1,
	0x03, 0xe8, 0, 80, 0, 0, 0, 0, 0,  0, 0, 0, 0x50, 2, 0, 0, 0,  0, 0, 0,
};

struct fixture {
	struct fake_target *target;
	struct node_fixture node;
};

static void setup(struct fixture *fixture)
{
	struct fake_target_options options = {.name = "target-1"};
	char endpoint[ENDPOINT_TEXT_BYTES];
	struct endpoint target;
	GError *error = NULL;
	char *rules;

	fixture->target = fake_target_new(&options, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	target = fake_target_endpoint(fixture->target);
	rules = g_strdup_printf(
		"order-desk address=10.0.0.1:80 pool=%s protocol=http "
		"# asked by Lin Yu-ting\n",
		endpoint_format(&target, endpoint));
	node_fixture_start(&fixture->node, rules, "");
	g_free(rules);
}

static void teardown(struct fixture *fixture)
{
	node_fixture_stop(&fixture->node);
	fake_target_free(fixture->target);
}

struct response {
	struct event_base *base;
	int status;
	char *body;
};

static void on_response(struct evhttp_request *request, void *context)
{
	struct response *response = context;
	struct evbuffer *body;

	if (request) {
		body = evhttp_request_get_input_buffer(request);
		response->status = evhttp_request_get_response_code(request);
		response->body =
			g_strndup((const char *)evbuffer_pullup(body, -1),
				  evbuffer_get_length(body));
	}
	event_base_loopbreak(response->base);
}

static void perform_get(struct fixture *fixture, const char *host,
			const char *uri, struct response *response)
{
	struct evhttp_connection *connection;
	struct evhttp_request *request;
	char address[IP_ADDR_TEXT_BYTES];

	response->base = event_base_new();
	ip_addr_format(&fixture->node.settings->listen_requests.addr, address);
	connection = evhttp_connection_base_new(
		response->base, NULL, address,
		fixture->node.settings->listen_requests.port);
	request = evhttp_request_new(on_response, response);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  host);
	evhttp_make_request(connection, request, EVHTTP_REQ_GET, uri);
	event_base_dispatch(response->base);
	evhttp_connection_free(connection);
	event_base_free(response->base);
}

/* Requests and the expected responses. */
static const struct {
	const char *host;
	const char *uri;
	int status;
	const char *body;
} request_rows[] = {
	{"order-desk", "/blocks/7", 200, "target-1 /blocks/7\n"},
	{"no-such-service", "/blocks/7", 421, NULL},
};

START_TEST(test_request)
{
	struct fixture fixture;
	struct response response = {.status = 0};

	setup(&fixture);
	perform_get(&fixture, request_rows[_i].host, request_rows[_i].uri,
		    &response);
	ck_assert_int_eq(response.status, request_rows[_i].status);
	if (request_rows[_i].body)
		ck_assert_str_eq(response.body, request_rows[_i].body);
	g_free(response.body);
	teardown(&fixture);
}
END_TEST

/* A datagram from the fabric, and how many packets the target receives. */
static const struct {
	const char *name;
	uint32_t length_bytes;
	uint64_t arrived_count;
} packet_rows[] = {
	{"whole", sizeof(syn), 1},
	{"truncated", sizeof(syn) - 1, 0},
	{"empty", 0, 0},
};

static void send_packet(const struct fixture *fixture, uint32_t length_bytes)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(
		&storage, &fixture->node.settings->listen_packets);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	ck_assert_int_eq(sendto(fd, syn, length_bytes, 0,
				(struct sockaddr *)&storage, length),
			 length_bytes);
	close(fd);
}

static void wait_for_packets(const struct fixture *fixture, uint64_t count)
{
	for (int i = 0; i < POLL_COUNT_MAX; i++) {
		if (fake_target_packet_count(fixture->target) >= count)
			return;
		g_usleep(POLL_INTERVAL_US);
	}
}

/*
 * A valid packet follows the datagram of the row. Once the valid packet has
 * arrived, the node has processed the datagram before it.
 */
START_TEST(test_packet)
{
	struct fixture fixture;

	setup(&fixture);
	send_packet(&fixture, packet_rows[_i].length_bytes);
	send_packet(&fixture, sizeof(syn));
	wait_for_packets(&fixture, packet_rows[_i].arrived_count + 1);
	ck_assert_uint_eq(fake_target_packet_count(fixture.target),
			  packet_rows[_i].arrived_count + 1);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("path");
	TCase *tcase = tcase_create("path");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_request, 0,
			    sizeof(request_rows) / sizeof(request_rows[0]));
	tcase_add_loop_test(tcase, test_packet, 0,
			    sizeof(packet_rows) / sizeof(packet_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
