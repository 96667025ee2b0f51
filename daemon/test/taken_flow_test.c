/*
 * Guards against a caller that echoes the wrong target because the node that
 * opened its flow resends the opening packet, not knowing that a node of
 * another zone carries the flow (review/1). Two nodes, real sockets and a fake
 * store.
 */
#include "relay_fixture.h"

#include <core/relay_tag.h>
#include <fakes/test_main.h>
#include <poll.h>
#include <signal.h>
#include <string.h>

#define NODE_COUNT 2
#define TARGET_COUNT 2
#define TARGET_ID_FIRST 0x7f3a9100
#define FLAG_SYN 2
#define FLAG_ACK 64
#define FIRST_PORT 1000
#define ATTEMPT_MS 500
#define WAIT_MS 10000

/* The zones of the node that opens a flow and of the one that takes it over. */
static const struct {
	const char *name;
	const char *zones[NODE_COUNT];
} rows[] = {
	{"carried-by-a-node-of-the-same-zone", {"north-a", "north-a"}},
	{"carried-by-a-node-of-another-zone", {"north-a", "north-b"}},
};

struct fixture {
	struct fake_kv *kv;
	struct settings settings[NODE_COUNT];
	struct shallotd *nodes[NODE_COUNT];
	int target_fds[TARGET_COUNT];
	int caller_fd;
};

static void setup(struct fixture *fixture, const char *const *zones)
{
	static const char *const names[NODE_COUNT] = {"node-a", "node-b"};
	struct endpoint caller = {.addr = loopback_second_addr()};

	memset(fixture, 0, sizeof(*fixture));
	fixture->kv = relay_fixture_start_store();
	relay_fixture_write_config(fixture->kv, 1);
	for (uint32_t i = 0; i < TARGET_COUNT; i++)
		fixture->target_fds[i] = relay_fixture_add_target(
			fixture->kv, TARGET_ID_FIRST + i, "north-a");
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

static void send_packet(const struct fixture *fixture, uint32_t node,
			uint16_t port, uint8_t flags, uint32_t tag)
{
	uint8_t bytes[ECHO_PACKET_HEADER_BYTES] = {0};
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(
		&storage, &fixture->settings[node].listen_packets);

	relay_fixture_write_packet(bytes, port, flags, tag);
	sendto(fixture->caller_fd, bytes, sizeof(bytes), 0,
	       (struct sockaddr *)&storage, length);
}

/*
 * Waits for an opening packet of a port at one of the targets that has a tag,
 * or any tag if that is RELAY_TAG_NONE. Returns the target, or TARGET_COUNT.
 */
static uint32_t wait_for_opening(const struct fixture *fixture, uint16_t port,
				 uint32_t except_target, uint32_t tag)
{
	int64_t end_ms = task_now_ms() + ATTEMPT_MS;
	uint8_t bytes[ECHO_TARGET_ID_BYTES + ECHO_PACKET_BYTES_MAX];
	struct relay_packet packet;

	while (task_now_ms() < end_ms) {
		for (uint32_t i = 0; i < TARGET_COUNT; i++) {
			struct pollfd ready = {.fd = fixture->target_fds[i],
					       .events = POLLIN};
			ssize_t length;

			if (poll(&ready, 1, 1) != 1)
				continue;
			length = recv(ready.fd, bytes, sizeof(bytes), 0);
			if (echo_packet_parse(
				    &packet, bytes + ECHO_TARGET_ID_BYTES,
				    (uint32_t)length - ECHO_TARGET_ID_BYTES) &&
			    packet.is_opening && packet.caller.port == port &&
			    i != except_target &&
			    (tag == RELAY_TAG_NONE || packet.tag == tag))
				return i;
		}
	}
	return TARGET_COUNT;
}

/*
 * Opens a flow through one node and sends its next packet through the other
 * one. Returns whether the other target is told where the flow has opened.
 */
static bool is_other_target_told(const struct fixture *fixture, uint16_t port)
{
	uint32_t target;
	uint32_t tag;

	send_packet(fixture, 0, port, FLAG_SYN, RELAY_TAG_NONE);
	target = wait_for_opening(fixture, port, TARGET_COUNT, RELAY_TAG_NONE);
	if (target == TARGET_COUNT)
		return false;
	/* The word of the taken flow is to come after the first resend. */
	g_usleep(40 * 1000);
	tag = relay_tag_of(TARGET_ID_FIRST + target);
	send_packet(fixture, 1, port, FLAG_ACK, tag);
	return wait_for_opening(fixture, port, target, tag) != TARGET_COUNT;
}

/* The first flows are opened before the nodes know each other. */
START_TEST(test_taken_flow)
{
	struct fixture fixture;
	int64_t end_ms = task_now_ms() + WAIT_MS;
	uint16_t port = FIRST_PORT;
	bool is_told = false;

	test_row("taken_flow", rows[_i].name);
	setup(&fixture, rows[_i].zones);
	while (!is_told && task_now_ms() < end_ms)
		is_told = is_other_target_told(&fixture, port++);
	ck_assert(is_told);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("taken_flow");
	TCase *tcase = tcase_create("taken_flow");

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_taken_flow, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
