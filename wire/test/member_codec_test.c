/* Tests membership messages of version 1, of later versions and malformed. */
#include <fakes/test_main.h>
#include <string.h>
#include <wire/member_codec.h>
#include <wire/rpc_codec.h>
#include <wire/wire_error.h>

#define BODY_BYTES_MAX 2048

static struct member_message sample(void)
{
	struct member_message message = {
		.kind = MEMBER_SYNC_PAGE,
		.region_id = 11,
		.probe_id = 12,
		.page_index = 1,
		.page_count = 2,
		.update_count = 3,
		.subject_id = 13,
		.view_digest = 14,
	};
	struct member_update *updates = message.updates;

	updates[0].node = (struct node){.node_id = 21,
					.incarnation = 22,
					.zone_id = 23,
					.region_id = 11,
					.feature_bits = 24,
					.state = NODE_SERVING};
	endpoint_parse(&updates[0].node.control, "10.0.0.1:7400");
	endpoint_parse(&updates[0].node.packets, "10.0.0.1:7401");
	updates[1].node = (struct node){.node_id = 31,
					.incarnation = 32,
					.zone_id = 33,
					.region_id = 11,
					.state = NODE_LEAVING};
	endpoint_parse(&updates[1].node.control, "[2001:db8::1]:7400");
	endpoint_parse(&updates[1].node.packets, "10.0.0.2:7401");
	updates[2] = (struct member_update){
		.node = {.node_id = 41, .incarnation = 42, .state = NODE_DEAD},
		.accuser_id = 43,
	};
	return message;
}

/* The sample as encoded by version 1, which every version must decode. */
static const uint8_t version_1[] = {
	0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x0b, 0x00, 0x00, 0x00, 0x0c,
	0x00, 0x01, 0x00, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x0d,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x0e, 0x00, 0x00, 0x00, 0x02,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x15, 0x00, 0x00, 0x00, 0x16,
	0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x17, 0x1c, 0xe8, 0x1c, 0xe9,
	0x00, 0x00, 0x00, 0x04, 0x0a, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x18, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x1f, 0x00, 0x00, 0x00, 0x20, 0x00, 0x00, 0x00, 0x02,
	0x00, 0x00, 0x00, 0x21, 0x1c, 0xe8, 0x1c, 0xe9, 0x00, 0x00, 0x00, 0x10,
	0x20, 0x01, 0x0d, 0xb8, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x04, 0x0a, 0x00, 0x00, 0x02,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x29, 0x00, 0x00, 0x00, 0x2a,
	0x00, 0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x2b,
};

static void check_update(const struct member_update *a,
			 const struct member_update *b)
{
	ck_assert_uint_eq(a->node.node_id, b->node.node_id);
	ck_assert_uint_eq(a->node.incarnation, b->node.incarnation);
	ck_assert_uint_eq(a->node.zone_id, b->node.zone_id);
	ck_assert_uint_eq(a->node.region_id, b->node.region_id);
	ck_assert_uint_eq(a->node.feature_bits, b->node.feature_bits);
	ck_assert_int_eq(a->node.state, b->node.state);
	ck_assert_uint_eq(a->accuser_id, b->accuser_id);
	ck_assert(endpoint_equal(&a->node.control, &b->node.control));
	ck_assert(endpoint_equal(&a->node.packets, &b->node.packets));
}

static void check_sample(const struct member_message *message)
{
	struct member_message expected = sample();

	ck_assert_int_eq(message->kind, expected.kind);
	ck_assert_uint_eq(message->region_id, expected.region_id);
	ck_assert_uint_eq(message->probe_id, expected.probe_id);
	ck_assert_uint_eq(message->page_index, expected.page_index);
	ck_assert_uint_eq(message->page_count, expected.page_count);
	ck_assert_uint_eq(message->subject_id, expected.subject_id);
	ck_assert_uint_eq(message->view_digest, expected.view_digest);
	ck_assert_uint_eq(message->update_count, expected.update_count);
	for (uint32_t i = 0; i < expected.update_count; i++)
		check_update(&message->updates[i], &expected.updates[i]);
}

#define ERROR_NONE (-1)

/*
 * Changes to the version 1 bytes (one byte set, bytes appended or removed,
 * another procedure), and the expected error or number of updates.
 */
static const struct {
	const char *name;
	uint32_t set_offset;
	uint8_t set_value;
	int32_t length_change;
	uint32_t procedure_change;
	int error;
	uint32_t update_count;
} rows[] = {
	{"version-1", 0, 0, 0, 0, ERROR_NONE, 3},
	{"later-version", 3, 2, 0, 0, ERROR_NONE, 3},
	{"later-version-appended", 3, 2, 40, 0, ERROR_NONE, 3},
	{"version-0", 3, 0, 0, 0, WIRE_ERROR_VERSION, 0},
	{"unknown-procedure", 0, 0, 0, 1, WIRE_ERROR_VERSION, 0},
	{"truncated", 0, 0, -1, 0, WIRE_ERROR_MALFORMED, 0},
	{"header-only", 0, 0, 8 - (int32_t)sizeof(version_1), 0,
	 WIRE_ERROR_MALFORMED, 0},
	{"empty", 0, 0, -(int32_t)sizeof(version_1), 0, WIRE_ERROR_MALFORMED,
	 0},
	{"too-many-updates", 34, 0xff, 0, 0, WIRE_ERROR_MALFORMED, 0},
	{"unknown-state", 51, 9, 0, 0, ERROR_NONE, 2},
	{"address-of-odd-length", 63, 5, 0, 0, WIRE_ERROR_MALFORMED, 0},
};

START_TEST(test_decode)
{
	uint8_t bytes[BODY_BYTES_MAX] = {0};
	uint32_t length_bytes =
		(uint32_t)((int32_t)sizeof(version_1) + rows[_i].length_change);
	uint32_t procedure = member_codec_procedure(MEMBER_SYNC_PAGE) +
			     rows[_i].procedure_change;
	struct member_message message;
	GError *error = NULL;

	test_row("member_codec", rows[_i].name);
	memcpy(bytes, version_1, sizeof(version_1));
	if (rows[_i].set_offset > 0)
		bytes[rows[_i].set_offset] = rows[_i].set_value;
	if (rows[_i].error == ERROR_NONE) {
		ck_assert(member_codec_decode(&message, procedure, bytes,
					      length_bytes, &error));
		ck_assert_uint_eq(message.update_count, rows[_i].update_count);
		if (rows[_i].update_count == 3)
			check_sample(&message);
		return;
	}
	ck_assert(!member_codec_decode(&message, procedure, bytes, length_bytes,
				       &error));
	ck_assert_msg(error->code == rows[_i].error, "%s: %s", rows[_i].name,
		      error->message);
	g_error_free(error);
}
END_TEST

START_TEST(test_encode)
{
	struct member_message message = sample();
	GByteArray *bytes = member_codec_encode(&message, NULL);

	test_row("member_codec", "writes-version-1");
	ck_assert_uint_eq(bytes->len, sizeof(version_1));
	ck_assert_mem_eq(bytes->data, version_1, sizeof(version_1));
	g_byte_array_unref(bytes);
}
END_TEST

/* A full page of the longest updates fits into a datagram. */
START_TEST(test_page_size)
{
	struct member_message message = sample();
	GByteArray *bytes;

	test_row("member_codec", "full-page-fits-datagram");
	message.update_count = MEMBER_PAGE_UPDATES_MAX;
	for (uint32_t i = 0; i < MEMBER_PAGE_UPDATES_MAX; i++) {
		struct node *node = &message.updates[i].node;

		node->state = NODE_SERVING;
		endpoint_parse(&node->control, "[2001:db8::1]:7400");
		endpoint_parse(&node->packets, "[2001:db8::2]:7401");
	}
	bytes = member_codec_encode(&message, NULL);
	ck_assert_uint_le(bytes->len,
			  RPC_DATAGRAM_BYTES_MAX - RPC_HEADER_BYTES);
	g_byte_array_unref(bytes);
}
END_TEST

/* Random bytes never decode to more updates than a message can hold. */
START_TEST(test_garbage)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct member_message message;
	uint8_t bytes[256];

	test_row("member_codec", "garbage");
	for (uint32_t round = 0; round < 20000; round++) {
		uint32_t length = (uint32_t)g_rand_int_range(rand, 0, 257);

		for (uint32_t i = 0; i < length; i++)
			bytes[i] = (uint8_t)(g_rand_int(rand) %
					     (round % 2 ? 256 : 3));
		member_codec_decode(&message,
				    member_codec_procedure(MEMBER_GOSSIP),
				    bytes, length, NULL);
		ck_assert_uint_le(message.update_count,
				  MEMBER_PAGE_UPDATES_MAX);
	}
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("member_codec");
	TCase *tcase = tcase_create("member_codec");

	tcase_add_loop_test(tcase, test_decode, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_encode);
	tcase_add_test(tcase, test_page_size);
	tcase_add_test(tcase, test_garbage);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
