/*
 * Tests control tasks on loopback: delivery of calls from one node to another,
 * and rejection of malformed, unauthenticated and replayed datagrams.
 */
#include "control_fixture.h"

/* Body sizes of a call from the second node to the first. */
static const struct {
	const char *name;
	uint32_t length_bytes;
} call_rows[] = {
	{"datagram", 100},
	{"largest-datagram", RPC_DATAGRAM_BYTES_MAX - RPC_HEADER_BYTES},
	{"smallest-record", RPC_DATAGRAM_BYTES_MAX - RPC_HEADER_BYTES + 1},
	{"record-of-a-megabyte", 1024 * 1024},
};

static void post_call(struct member_node *from, uint64_t to_node_id,
		      uint32_t procedure, uint32_t length_bytes)
{
	uint8_t *body = g_malloc(length_bytes);

	memset(body, 7, length_bytes);
	task_post(control_task_task(from->control),
		  control_message_new(&control_out_type, to_node_id, procedure,
				      body, length_bytes));
	g_free(body);
}

START_TEST(test_call)
{
	struct member_node nodes[2];
	struct receiver *receiver = &nodes[0].receiver;

	test_row("control", call_rows[_i].name);
	node_start(&nodes[0], KEYS, NULL);
	node_start(&nodes[1], KEYS, &nodes[0]);
	ck_assert(await_count(&nodes[1].receiver,
			      &nodes[1].receiver.serving_node_count, 2));
	post_call(&nodes[1], control_task_node_id(nodes[0].control),
		  PROCEDURE_FLOWS_FIRST, call_rows[_i].length_bytes);
	ck_assert(await_count(receiver, &receiver->call_count, 1));
	ck_assert_uint_eq(receiver->last_length_bytes,
			  call_rows[_i].length_bytes);
	ck_assert_uint_eq(receiver->last_byte, 7);
	node_free(&nodes[0]);
	node_free(&nodes[1]);
}
END_TEST

/*
 * Calls that are dropped or rejected, and the counter that must increase on
 * the node with index counting_node_index. A to_node_id of 0 stands for the
 * first node.
 */
static const struct {
	const char *name;
	uint64_t to_node_id;
	uint32_t procedure;
	uint32_t counting_node_index;
	const char *counter;
} dropped_call_rows[] = {
	{"unknown-node", 12345, PROCEDURE_FLOWS_FIRST, 1,
	 "shallot_control_dropped_total{reason=\"no_node\"} "},
	{"procedure-without-task", 0, PROCEDURE_CLAIMS_FIRST, 0,
	 "shallot_control_dropped_total{reason=\"no_route\"} "},
	{"caller-is-told", 0, PROCEDURE_CLAIMS_FIRST, 1,
	 "\nshallot_control_refused_by_peer_total "},
	{"unknown-member-procedure", 0, PROCEDURE_FLOWS_FIRST - 1, 0,
	 "shallot_control_dropped_total{reason=\"malformed\"} "},
};

START_TEST(test_dropped_call)
{
	struct member_node nodes[2];
	uint64_t to_node_id = dropped_call_rows[_i].to_node_id;

	test_row("control", dropped_call_rows[_i].name);
	node_start(&nodes[0], KEYS, NULL);
	node_start(&nodes[1], KEYS, &nodes[0]);
	ck_assert(await_count(&nodes[1].receiver,
			      &nodes[1].receiver.serving_node_count, 2));
	if (to_node_id == 0)
		to_node_id = control_task_node_id(nodes[0].control);
	post_call(&nodes[1], to_node_id, dropped_call_rows[_i].procedure, 8);
	ck_assert(
		await_counter(&nodes[dropped_call_rows[_i].counting_node_index],
			      dropped_call_rows[_i].counter));
	ck_assert_uint_eq(nodes[0].receiver.call_count, 0);
	node_free(&nodes[0]);
	node_free(&nodes[1]);
}
END_TEST

enum datagram_fault {
	DATAGRAM_FAULT_GARBAGE,
	DATAGRAM_FAULT_WRONG_KEY,
	DATAGRAM_FAULT_REPLAY,
	DATAGRAM_FAULT_OLD_CLOCK,
	DATAGRAM_FAULT_OTHER_VERSION,
};

/*
 * Invalid or replayed datagrams, each sent twice: how many of the two are
 * accepted, and the counter of the rejected ones.
 */
static const struct {
	const char *name;
	enum datagram_fault fault;
	uint32_t accepted_count;
	const char *counter;
} datagram_fault_rows[] = {
	{"stranger-garbage", DATAGRAM_FAULT_GARBAGE, 0,
	 "shallot_control_dropped_total{reason=\"malformed\"} "},
	{"stranger-wrong-key", DATAGRAM_FAULT_WRONG_KEY, 0,
	 "shallot_control_dropped_total{reason=\"not_authentic\"} "},
	{"stranger-replays", DATAGRAM_FAULT_REPLAY, 1,
	 "shallot_control_dropped_total{reason=\"replayed\"} "},
	{"stranger-replays-old", DATAGRAM_FAULT_OLD_CLOCK, 0,
	 "shallot_control_dropped_total{reason=\"clock_skew\"} "},
	{"peer-of-another-version", DATAGRAM_FAULT_OTHER_VERSION, 0,
	 "shallot_control_dropped_total{reason=\"other_version\"} "},
};

static GByteArray *encode_call(enum datagram_fault fault, const char *key_path)
{
	struct rpc_message call = {
		.kind = RPC_KIND_CALL,
		.version = fault == DATAGRAM_FAULT_OTHER_VERSION ? 9 : 1,
		.procedure = PROCEDURE_FLOWS_FIRST,
		.sender_id = 99,
		.sequence = 1,
		.sent_s = (uint32_t)(g_get_real_time() / G_USEC_PER_SEC),
		.body = (const uint8_t *)"body",
		.length_bytes = 4,
	};
	struct key_ring *ring = key_ring_read(key_path, NULL);
	GByteArray *bytes;

	if (fault == DATAGRAM_FAULT_OLD_CLOCK)
		call.sent_s -= 2 * REPLAY_CLOCK_SKEW_S_MAX;
	bytes = rpc_codec_encode(&call, ring, NULL);
	key_ring_free(ring);
	if (fault == DATAGRAM_FAULT_GARBAGE)
		memset(bytes->data, 0xa5, bytes->len);
	return bytes;
}

static void send_twice(const struct endpoint *to, const GByteArray *bytes)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, to);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(sendto(fd, bytes->data, bytes->len, 0,
					(struct sockaddr *)&storage, length),
				 bytes->len);
	close(fd);
}

START_TEST(test_datagram_fault)
{
	enum datagram_fault fault = datagram_fault_rows[_i].fault;
	struct member_node node;
	GByteArray *bytes;
	char *other_path;

	test_row("control", datagram_fault_rows[_i].name);
	node_start(&node, KEYS, NULL);
	other_path = g_strconcat(node.key_path, ".other", NULL);
	write_keys(other_path,
		   fault == DATAGRAM_FAULT_WRONG_KEY ? OTHER_KEYS : KEYS);
	bytes = encode_call(fault, other_path);
	send_twice(&node.settings.listen_control, bytes);
	ck_assert(await_counter(&node, datagram_fault_rows[_i].counter));
	ck_assert(await_count(&node.receiver, &node.receiver.call_count,
			      datagram_fault_rows[_i].accepted_count));
	g_byte_array_unref(bytes);
	g_unlink(other_path);
	g_free(other_path);
	node_free(&node);
}
END_TEST

/*
 * Rotates the keys of running nodes, one node after the other. The first node
 * must not reject any datagram as not authentic.
 */
START_TEST(test_rotation)
{
	struct member_node nodes[2];
	struct receiver *receiver = &nodes[0].receiver;

	test_row("control", "keys-rotate-in-service");
	node_start(&nodes[0], KEYS, NULL);
	node_start(&nodes[1], KEYS, &nodes[0]);
	ck_assert(await_count(&nodes[1].receiver,
			      &nodes[1].receiver.serving_node_count, 2));
	write_keys(nodes[0].key_path, KEYS NEW_KEYS);
	ck_assert(
		await_counter(&nodes[0], "\nshallot_control_key_reads_total "));
	write_keys(nodes[1].key_path, NEW_KEYS KEYS);
	ck_assert(
		await_counter(&nodes[1], "\nshallot_control_key_reads_total "));
	post_call(&nodes[1], control_task_node_id(nodes[0].control),
		  PROCEDURE_FLOWS_FIRST, 8);
	ck_assert(await_count(receiver, &receiver->call_count, 1));
	ck_assert_uint_eq(read_counter(&nodes[0],
				       "shallot_control_dropped_total{reason="
				       "\"not_authentic\"} "),
			  0);
	node_free(&nodes[0]);
	node_free(&nodes[1]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("control_task");
	TCase *tcase = tcase_create("control_task");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_call, 0, G_N_ELEMENTS(call_rows));
	tcase_add_loop_test(tcase, test_dropped_call, 0,
			    G_N_ELEMENTS(dropped_call_rows));
	tcase_add_loop_test(tcase, test_datagram_fault, 0,
			    G_N_ELEMENTS(datagram_fault_rows));
	tcase_add_test(tcase, test_rotation);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
