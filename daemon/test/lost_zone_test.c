/*
 * Tests flows to a zone or a target that falls silent, and the readiness of a
 * node that can serve no new flow, with three nodes in three zones, real
 * sockets and a fake store. The targets take packets and never answer; the
 * caller acknowledges what answering ones would have sent.
 */
#include "relay_fixture.h"

#include <core/relay_tag.h>
#include <fakes/test_main.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define NODE_COUNT 3
#define TARGET_COUNT 4
#define TARGET_ID_FIRST 0x7f3a9100
#define FLAG_SYN 2
#define FLAG_ACK 64
#define FLAG_RST 16
#define OFFSET_LENGTH 8
#define OFFSET_ACKNOWLEDGED 30
#define FLOWS_PER_TARGET 3
#define FIRST_PORT 1000
#define PAYLOAD_BYTES 10
#define REPEAT_MS 200
#define START_MS 4000
#define WAIT_MS 3000

/*
 * Whether the node of the targets' zone stops, the kind of the route, whether
 * all targets but the first one answer, and whether the caller's flows are
 * reset after that.
 */
static const struct row {
	const char *name;
	const char *kind;
	bool is_silent;
	bool is_reset;
	bool are_others_answering;
} rows[] = {
	{"safe-flows-to-a-silent-zone", "safe", true, true, false},
	{"unsafe-flows-to-a-silent-zone", "unsafe", true, false, false},
	{"safe-flows-to-silent-targets-of-a-live-zone", "safe", false, false,
	 false},
	{"safe-flows-to-one-silent-target", "safe", false, true, true},
	{"unsafe-flows-to-one-silent-target", "unsafe", false, false, true},
};

struct fixture {
	struct fake_kv *kv;
	struct settings settings[NODE_COUNT];
	struct shallotd *nodes[NODE_COUNT];
	int target_fds[TARGET_COUNT];
	int caller_fd;
	uint16_t opening_port;
	uint8_t answer_count[TARGET_COUNT];
	uint32_t answering_target_first;
};

static void write_config(struct fake_kv *kv, const char *kind)
{
	char *text = g_strdup_printf(
		"{\"version\":1,\"routes\":[{\"hostname\":\"198.18.0.1\","
		"\"prefix\":\"/443/\",\"service\":\"s\",\"type\":\"%s\"}],"
		"\"limits\":{\"idleTimeoutMs\":15000}}",
		kind);

	fake_kv_put(kv, CONFIG_KEY, text);
	g_free(text);
}

/* Callers receive on the same port that nodes listen on. */
static void setup(struct fixture *fixture, const char *kind)
{
	static const char *const names[NODE_COUNT] = {"node-a", "node-b",
						      "node-c"};
	static const char *const zones[NODE_COUNT] = {"north-a", "north-b",
						      "north-c"};
	struct endpoint caller = {.addr = loopback_second_addr()};

	memset(fixture, 0, sizeof(*fixture));
	fixture->opening_port = 2000;
	fixture->kv = relay_fixture_start_store();
	write_config(fixture->kv, kind);
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		fixture->target_fds[i] = relay_fixture_add_target(
			fixture->kv, TARGET_ID_FIRST + i, "north-b");
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		fixture->nodes[i] = relay_fixture_start_node(
			&fixture->settings[i], names[i], zones[i], fixture->kv);
	caller.port = fixture->settings[0].listen_packets.port;
	fixture->caller_fd = relay_fixture_bind_udp(&caller);
}

static void teardown(struct fixture *fixture)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		shallotd_free(fixture->nodes[i]);
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		close(fixture->target_fds[i]);
	close(fixture->caller_fd);
	fake_kv_free(fixture->kv);
}

static bool is_answering(const struct fixture *fixture, uint32_t target)
{
	return target >= fixture->answering_target_first;
}

/* Sends a packet of the caller at port; payload and acknowledged are bytes. */
static void send_packet(struct fixture *fixture, uint32_t port, uint8_t flags,
			uint8_t payload, uint8_t acknowledged, uint32_t tag)
{
	uint8_t bytes[ECHO_PACKET_HEADER_BYTES + PAYLOAD_BYTES] = {0};
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(
		&storage, &fixture->settings[0].listen_packets);

	relay_fixture_write_packet(bytes, (uint16_t)port, flags, tag);
	bytes[OFFSET_LENGTH] = payload;
	bytes[OFFSET_ACKNOWLEDGED] = acknowledged;
	sendto(fixture->caller_fd, bytes, ECHO_PACKET_HEADER_BYTES + payload, 0,
	       (struct sockaddr *)&storage, length);
}

/* Sends the same data on open flows to each target that does not answer. */
static void send_data(struct fixture *fixture)
{
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		fixture->answer_count[i] += is_answering(fixture, i) ? 1 : 0;
	for (uint32_t i = 0; i < FLOWS_PER_TARGET * TARGET_COUNT; i++) {
		uint32_t target = i % TARGET_COUNT;

		send_packet(fixture, FIRST_PORT + i, FLAG_ACK,
			    is_answering(fixture, target) ? 0 : PAYLOAD_BYTES,
			    2 * fixture->answer_count[target],
			    TARGET_ID_FIRST + target);
	}
}

static void open_flows(struct fixture *fixture)
{
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		send_packet(fixture, fixture->opening_port++, FLAG_SYN, 0, 0,
			    RELAY_TAG_NONE);
}

/* Repeats the data for some time. Returns whether a reset arrived. */
static bool repeat_data(struct fixture *fixture, int64_t duration_ms)
{
	int64_t end_ms = task_now_ms() + duration_ms;
	struct pollfd ready = {.fd = fixture->caller_fd, .events = POLLIN};
	uint8_t bytes[ECHO_PACKET_BYTES_MAX];

	while (task_now_ms() < end_ms) {
		send_data(fixture);
		if (poll(&ready, 1, REPEAT_MS) != 1)
			continue;
		ck_assert_int_gt(recv(ready.fd, bytes, sizeof(bytes), 0), 0);
		ck_assert_int_eq(bytes[0], FLAG_RST);
		return true;
	}
	return false;
}

START_TEST(test_zone)
{
	const struct row *row = &rows[_i];
	struct fixture fixture;

	test_row("lost_zone", row->name);
	setup(&fixture, row->kind);
	fixture.answering_target_first =
		row->are_others_answering ? 0 : TARGET_COUNT;
	ck_assert(!repeat_data(&fixture, START_MS));
	if (row->are_others_answering)
		fixture.answering_target_first = 1;
	if (row->is_silent)
		g_clear_pointer(&fixture.nodes[1], shallotd_free);
	ck_assert_int_eq(repeat_data(&fixture, WAIT_MS), row->is_reset);
	teardown(&fixture);
}
END_TEST

/* Returns whether the first node's response to /readyz contains text. */
static bool is_answer(const struct fixture *fixture, const char *text)
{
	static const char request[] = "GET /readyz HTTP/1.1\r\nHost: node\r\n"
				      "Connection: close\r\n\r\n";
	char bytes[512] = {0};
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(
		&storage, &fixture->settings[0].listen_admin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&storage, length), 0);
	ck_assert_int_gt(send(fd, request, strlen(request), 0), 0);
	ck_assert_int_gt(recv(fd, bytes, sizeof(bytes) - 1, MSG_WAITALL), 0);
	close(fd);
	return strstr(bytes, text) != NULL;
}

/* Opens flows until the first node's readiness is as expected. */
static void wait_for_answer(struct fixture *fixture, const char *text)
{
	int64_t end_ms = task_now_ms() + START_MS;

	while (!is_answer(fixture, text)) {
		ck_assert_msg(task_now_ms() < end_ms, "no answer '%s'", text);
		open_flows(fixture);
		g_usleep(REPEAT_MS * G_TIME_SPAN_MILLISECOND / 2);
	}
}

START_TEST(test_isolation)
{
	struct fixture fixture;
	GError *error = NULL;

	test_row("lost_zone", "evacuated-node-that-hears-no-other-zone");
	setup(&fixture, "safe");
	fixture.answering_target_first = TARGET_COUNT;
	fake_kv_put(fixture.kv, "op/evacuate/north-a", "{}");
	ck_assert(!repeat_data(&fixture, START_MS));
	wait_for_answer(&fixture, " 200 ");
	for (uint32_t i = 1; i < NODE_COUNT; i++)
		g_clear_pointer(&fixture.nodes[i], shallotd_free);
	wait_for_answer(&fixture, "not ready: isolated");
	fixture.nodes[1] = shallotd_new(&fixture.settings[1], &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	wait_for_answer(&fixture, " 200 ");
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lost_zone");
	TCase *tcase = tcase_create("lost_zone");

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_zone, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_isolation);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
