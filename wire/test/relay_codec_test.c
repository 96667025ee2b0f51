/* Tests the messages of nodes that forward by tag, and their store entries. */
#include <fakes/test_main.h>
#include <glib.h>
#include <string.h>
#include <wire/peer_codec.h>
#include <wire/relay_codec.h>

#define MUTATION_SEED 20261204
#define MUTATION_COUNT 100000

/* A message as encoded by version 1, which every version must decode. */
static const uint8_t version_1[] = {
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02,
	0x20, 0x00, 0x5a, 0x17, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x40,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x09,
	0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00, 0x02,
};

/* A message about flows taken over as encoded by version 1, without tags. */
static const uint8_t version_1_moved[] = {
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02,
	0x20, 0x00, 0x5a, 0x17, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x41,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x09,
	0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x07,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08,
};

/* Item counts of messages; the largest of each kind fits into a datagram. */
static const struct {
	const char *name;
	enum relay_message_kind kind;
	uint32_t count;
	bool has_numbers;
} rows[] = {
	{"no-loads", RELAY_MESSAGE_LOADS, 0, false},
	{"one-load", RELAY_MESSAGE_LOADS, 1, false},
	{"most-loads", RELAY_MESSAGE_LOADS, RELAY_MESSAGE_LOAD_COUNT_MAX,
	 false},
	{"one-flow", RELAY_MESSAGE_MOVED, 1, false},
	{"most-flows", RELAY_MESSAGE_MOVED, RELAY_MESSAGE_FLOW_COUNT_MAX,
	 false},
	{"no-flow", RELAY_MESSAGE_MOVED, 0, false},
	{"one-flow-with-its-tag", RELAY_MESSAGE_MOVED, 1, true},
	{"most-flows-with-their-tags", RELAY_MESSAGE_MOVED,
	 RELAY_MESSAGE_NUMBER_COUNT_MAX, true},
	{"one-sought-flow", RELAY_MESSAGE_SOUGHT, 1, true},
	{"most-sought-flows", RELAY_MESSAGE_SOUGHT,
	 RELAY_MESSAGE_NUMBER_COUNT_MAX, true},
	{"one-found-flow", RELAY_MESSAGE_FOUND, 1, true},
	{"most-found-flows", RELAY_MESSAGE_FOUND,
	 RELAY_MESSAGE_NUMBER_COUNT_MAX, true},
	{"zone-alive", RELAY_MESSAGE_ZONE, 0, false},
	{"one-stall", RELAY_MESSAGE_ZONE, 1, false},
	{"most-stalls", RELAY_MESSAGE_ZONE, RELAY_ZONE_STALL_MAX, false},
	{"target-alive", RELAY_MESSAGE_TARGET, 0, false},
	{"target-stall", RELAY_MESSAGE_TARGET, 1, false},
};

static struct relay_message sample(enum relay_message_kind kind, uint32_t count)
{
	struct relay_message message = {.kind = kind, .node_id = 9};

	if (kind == RELAY_MESSAGE_LOADS)
		message.load_count = count;
	else if (kind == RELAY_MESSAGE_MOVED || kind == RELAY_MESSAGE_SOUGHT ||
		 kind == RELAY_MESSAGE_FOUND)
		message.flow_count = count;
	else if (kind == RELAY_MESSAGE_TARGET && count == 0)
		message.target = (struct relay_target_report){
			.tag = 4, .is_alive = true, .alive_age_ms = 6};
	else if (kind == RELAY_MESSAGE_TARGET)
		message.target =
			(struct relay_target_report){.tag = 4, .flow = 8};
	else
		message.zone =
			(struct relay_zone_report){.zone_id = 4,
						   .is_alive = count == 0,
						   .tag_count = count};
	for (uint32_t i = 0; i < message.load_count; i++)
		message.loads[i] = (struct relay_load){5 + i, 2 + i};
	for (uint32_t i = 0; i < message.flow_count; i++)
		message.flows[i] = (struct hash128){7 + i, 8 + i};
	for (uint32_t i = 0; i < message.zone.tag_count; i++)
		message.zone.tags[i] = 5 + i;
	return message;
}

static void number_flows(struct relay_message *message)
{
	message->number_count = message->flow_count;
	for (uint32_t i = 0; i < message->flow_count; i++)
		message->numbers[i] = 9 + i;
}

START_TEST(test_round_trip)
{
	struct relay_message message = sample(rows[_i].kind, rows[_i].count);
	struct relay_message decoded;
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];
	uint32_t length_bytes;

	test_row("relay_codec", rows[_i].name);
	if (rows[_i].has_numbers)
		number_flows(&message);
	length_bytes = relay_codec_encode(&message, bytes, sizeof(bytes));
	ck_assert_uint_gt(length_bytes, 0);
	ck_assert(relay_codec_decode(&decoded, bytes, length_bytes));
	ck_assert_mem_eq(&decoded, &message, sizeof(decoded));
	ck_assert(!relay_codec_decode(&decoded, bytes, length_bytes - 1));
	ck_assert(!relay_codec_decode(&decoded, bytes, 0));
}
END_TEST

/* Messages of version 1, each with one item. */
static const struct {
	const char *name;
	enum relay_message_kind kind;
	const uint8_t *bytes;
	uint32_t length_bytes;
} version_1_rows[] = {
	{"version-1", RELAY_MESSAGE_LOADS, version_1, sizeof(version_1)},
	{"version-1-moved", RELAY_MESSAGE_MOVED, version_1_moved,
	 sizeof(version_1_moved)},
};

START_TEST(test_version_1)
{
	struct relay_message expected = sample(version_1_rows[_i].kind, 1);
	uint32_t length_bytes = version_1_rows[_i].length_bytes;
	struct relay_message decoded;
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];

	test_row("relay_codec", version_1_rows[_i].name);
	ck_assert(relay_codec_decode(&decoded, version_1_rows[_i].bytes,
				     length_bytes));
	ck_assert_mem_eq(&decoded, &expected, sizeof(decoded));
	ck_assert_uint_eq(relay_codec_encode(&expected, bytes, sizeof(bytes)),
			  length_bytes);
	ck_assert_mem_eq(bytes, version_1_rows[_i].bytes, length_bytes);
}
END_TEST

/* A message with more or fewer tags than flows cannot be read. */
START_TEST(test_tag_count)
{
	struct relay_message message = sample(RELAY_MESSAGE_MOVED, 2);
	struct relay_message decoded;
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];

	test_row("relay_codec", "tag-for-each-flow");
	message.number_count = 1;
	ck_assert_uint_eq(relay_codec_encode(&message, bytes, sizeof(bytes)),
			  0);
	message.number_count = 2;
	ck_assert_uint_gt(relay_codec_encode(&message, bytes, sizeof(bytes)),
			  0);
	/* The lowest byte of the number of flows. */
	bytes[51] = 1;
	ck_assert(!relay_codec_decode(&decoded, bytes, sizeof(bytes)));
}
END_TEST

START_TEST(test_mutations)
{
	GRand *random = g_rand_new_with_seed(MUTATION_SEED);
	struct relay_message decoded;

	test_row("relay_codec", "mutations");
	for (uint32_t i = 0; i < MUTATION_COUNT; i++) {
		uint32_t length_bytes = (uint32_t)g_rand_int_range(
			random, 0, sizeof(version_1) + 1);
		uint8_t *bytes = g_memdup2(version_1, sizeof(version_1));

		for (uint32_t change = 0; change < 3; change++)
			bytes[g_rand_int_range(random, 0, sizeof(version_1))] =
				(uint8_t)g_rand_int(random);
		relay_codec_decode(&decoded, bytes, length_bytes);
		g_free(bytes);
	}
	g_rand_free(random);
}
END_TEST

/* Entries of nodes in the store, and whether they decode. */
static const struct {
	const char *name;
	const char *key;
	const char *value;
	bool is_accepted;
} peer_rows[] = {
	{"node", "shallotstream/nodes/n",
	 "{\"peers\":\"10.0.0.1:7\",\"zone\":\"z\",\"link_mbps\":10}", true},
	{"later-field", "shallotstream/nodes/n",
	 "{\"peers\":\"10.0.0.1:7\",\"zone\":\"z\",\"colour\":1}", true},
	{"no-zone", "shallotstream/nodes/n", "{\"peers\":\"10.0.0.1:7\"}",
	 false},
	{"bad-address", "shallotstream/nodes/n",
	 "{\"peers\":\"here\",\"zone\":\"z\"}", false},
	{"link-as-text", "shallotstream/nodes/n",
	 "{\"peers\":\"10.0.0.1:7\",\"zone\":\"z\",\"link_mbps\":\"10\"}",
	 false},
	{"negative-link", "shallotstream/nodes/n",
	 "{\"peers\":\"10.0.0.1:7\",\"zone\":\"z\",\"link_mbps\":-1}", false},
	{"garbage", "shallotstream/nodes/n", "\xff", false},
	{"another-key", "servers/i-1",
	 "{\"peers\":\"10.0.0.1:7\",\"zone\":\"z\"}", false},
};

START_TEST(test_peer)
{
	struct relay_peer peer = {.node_id = 0};
	const char *value = peer_rows[_i].value;

	test_row("peer_codec", peer_rows[_i].name);
	ck_assert_int_eq(peer_codec_decode(&peer, peer_rows[_i].key, value,
					   (uint32_t)strlen(value)),
			 peer_rows[_i].is_accepted);
	if (peer_rows[_i].is_accepted)
		ck_assert_uint_eq(peer.node_id, relay_peer_id_from_name("n"));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_codec");
	TCase *tcase = tcase_create("relay_codec");

	tcase_add_loop_test(tcase, test_round_trip, 0, G_N_ELEMENTS(rows));
	tcase_add_loop_test(tcase, test_version_1, 0,
			    G_N_ELEMENTS(version_1_rows));
	tcase_add_test(tcase, test_tag_count);
	tcase_add_test(tcase, test_mutations);
	tcase_add_loop_test(tcase, test_peer, 0, G_N_ELEMENTS(peer_rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
