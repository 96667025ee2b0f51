#include <fakes/test_main.h>
#include <string.h>
#include <wire/flow_codec.h>
#include <wire/forward_header.h>
#include <wire/wire_error.h>

static struct target make_target(const char *endpoint)
{
	struct target target = {
		.incarnation = 2, .service_id = 7, .zone_id = 3, .weight = 4};

	ck_assert(endpoint_parse(&target.endpoint, endpoint));
	target.target_id = target_id_of(&target);
	return target;
}

static struct flow_message make_message(enum flow_message_kind kind)
{
	struct flow_message message = {.kind = kind, .sequence = 9};
	struct target v4 = make_target("10.1.0.1:8080");
	struct target v6 = make_target("[2001:db8::1]:8080");

	switch (kind) {
	case FLOW_MIRROR:
	case FLOW_HANDOVER:
		ck_assert(flow_message_add_entry(&message, 0x1122334455667788,
						 &v4));
		ck_assert(flow_message_add_entry(&message, 0x99, &v6));
		break;
	case FLOW_POOL:
		message.service_id = 7;
		message.generation = 1ULL << 40;
		message.pool_count = 2;
		message.target_count = 1;
		message.targets[0] = v4;
		break;
	case FLOW_TARGETS:
		v6.state = TARGET_LEAVING;
		message.target_count = 1;
		message.targets[0] = v6;
		break;
	case FLOW_HANDOVER_DONE:
		message.revision = 12;
		message.base_revision = 11;
		message.base_remaining_ms = 900000;
		message.slot_count = 2;
		message.slots[0] = 258;
		message.slots[1] = 16383;
		break;
	default:
		message.ack_mask = 5;
		break;
	}
	return message;
}

static GByteArray *encode(const struct flow_message *message)
{
	GError *error = NULL;
	GByteArray *bytes = flow_codec_encode(message, &error);

	ck_assert_msg(!error, "%s", error ? error->message : "");
	return bytes;
}

START_TEST(test_round_trip)
{
	struct flow_message message = make_message((enum flow_message_kind)_i);
	struct flow_message decoded;
	GByteArray *bytes = encode(&message);
	GByteArray *reencoded;

	/* flow_message_size_bytes includes 104 bytes of headers. */
	ck_assert_uint_eq(flow_message_size_bytes(&message), bytes->len + 104);
	ck_assert(flow_codec_decode(&decoded, bytes->data, bytes->len, NULL));
	reencoded = encode(&decoded);
	ck_assert_uint_eq(reencoded->len, bytes->len);
	ck_assert(memcmp(reencoded->data, bytes->data, bytes->len) == 0);
	g_byte_array_free(reencoded, TRUE);
	g_byte_array_free(bytes, TRUE);
}
END_TEST

/*
 * Every proper prefix of a message is rejected. A message with one bit flipped
 * is rejected or decodes to a valid one.
 */
START_TEST(test_corrupted)
{
	struct flow_message message = make_message((enum flow_message_kind)_i);
	struct flow_message decoded;
	GByteArray *bytes = encode(&message);

	for (guint length = 0; length < bytes->len; length++)
		ck_assert(!flow_codec_decode(&decoded, bytes->data, length,
					     NULL));
	for (guint i = 0; i < bytes->len * 8; i++) {
		bytes->data[i / 8] ^= (guint8)(1 << i % 8);
		if (flow_codec_decode(&decoded, bytes->data, bytes->len, NULL))
			ck_assert(flow_message_is_valid(&decoded));
		bytes->data[i / 8] ^= (guint8)(1 << i % 8);
	}
	g_byte_array_free(bytes, TRUE);
}
END_TEST

/* Encoded messages, some of them from version 1, and the expected result. */
static const struct {
	const char *name;
	uint32_t length_bytes;
	uint8_t bytes[64];
	bool is_accepted;
	int code;
} byte_rows[] = {
	{"version 1 ack",
	 16,
	 {0, 0, 0, 1, 0, 0, 0, 9, 0, 0, 0, 5, 0, 0, 0, 3},
	 true,
	 0},
	{"version 1 mirror",
	 64,
	 {0, 0, 0, 1, 0,  0,   0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4, 10, 1,
	  0, 1, 0, 0, 31, 144, 0, 0, 0, 2, 0, 0, 0, 7, 0, 0, 0, 4, 0, 0, 0,  3,
	  0, 0, 0, 0, 0,  0,   0, 9, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0},
	 true,
	 0},
	{"later version with a field appended",
	 20,
	 {0, 0, 0, 2, 0, 0, 0, 9, 0, 0, 0, 5, 0, 0, 0, 3, 1, 2, 3, 4},
	 true,
	 0},
	{"kind of a later version",
	 16,
	 {0, 0, 0, 2, 0, 0, 0, 9, 0, 0, 0, 6, 0, 0, 0, 3},
	 false,
	 WIRE_ERROR_VERSION},
	{"version 0",
	 16,
	 {0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 5, 0, 0, 0, 3},
	 false,
	 WIRE_ERROR_VERSION},
	{"bytes behind version 1",
	 20,
	 {0, 0, 0, 1, 0, 0, 0, 9, 0, 0, 0, 5, 0, 0, 0, 3, 1, 2, 3, 4},
	 false,
	 WIRE_ERROR_MALFORMED},
	{"empty", 0, {0}, false, WIRE_ERROR_TRUNCATED},
	{"too many targets",
	 16,
	 {0, 0, 0, 1, 0, 0, 0, 9, 0, 0, 0, 3, 255, 255, 255, 255},
	 false,
	 WIRE_ERROR_MALFORMED},
};

START_TEST(test_bytes)
{
	struct flow_message decoded;
	GError *error = NULL;
	bool is_accepted =
		flow_codec_decode(&decoded, byte_rows[_i].bytes,
				  byte_rows[_i].length_bytes, &error);

	ck_assert_msg(is_accepted == byte_rows[_i].is_accepted, "%s",
		      byte_rows[_i].name);
	if (!is_accepted)
		ck_assert_msg(
			g_error_matches(error, WIRE_ERROR, byte_rows[_i].code),
			"%s", byte_rows[_i].name);
	g_clear_error(&error);
}
END_TEST

/* Datagrams, whether a forward header decodes, and the packet's offset. */
static const struct {
	const char *name;
	uint32_t length_bytes;
	uint8_t bytes[16];
	bool is_accepted;
	uint32_t packet_offset_bytes;
} header_rows[] = {
	{"version 1",
	 14,
	 {0xf1, 2, 0, 12, 0, 0, 0, 0, 0, 0, 1, 2, 0x45},
	 true,
	 12},
	{"later version, longer",
	 16,
	 {0xf2, 1, 0, 14, 0, 0, 0, 0, 0, 0, 1, 2, 9, 9, 0x45},
	 true,
	 14},
	{"no hop",
	 14,
	 {0xf1, 0, 0, 12, 0, 0, 0, 0, 0, 0, 1, 2, 0x45},
	 false,
	 0},
	{"header longer than the datagram",
	 14,
	 {0xf1, 1, 0, 15, 0, 0, 0, 0, 0, 0, 1, 2, 0x45},
	 false,
	 0},
	{"header shorter than its fields",
	 14,
	 {0xf1, 1, 0, 11, 0, 0, 0, 0, 0, 0, 1, 2, 0x45},
	 false,
	 0},
	{"truncated", 11, {0xf1, 1, 0, 12, 0, 0, 0, 0, 0, 0, 1}, false, 0},
	{"bare packet", 14, {0x45}, false, 0},
};

START_TEST(test_header)
{
	struct forward_header header;
	bool is_accepted = forward_header_read(&header, header_rows[_i].bytes,
					       header_rows[_i].length_bytes);
	uint8_t written[FORWARD_HEADER_BYTES];

	ck_assert_msg(is_accepted == header_rows[_i].is_accepted, "%s",
		      header_rows[_i].name);
	if (!is_accepted)
		return;
	ck_assert_uint_eq(header.from_node_id, 0x102);
	ck_assert_uint_eq(header.length_bytes,
			  header_rows[_i].packet_offset_bytes);
	forward_header_write(written, &header);
	ck_assert(forward_header_read(&header, written, sizeof(written)));
	ck_assert_uint_eq(header.hop_count, header_rows[_i].bytes[1]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_codec");
	TCase *tcase = tcase_create("codec");

	tcase_add_loop_test(tcase, test_round_trip, 0, FLOW_MESSAGE_KIND_COUNT);
	tcase_add_loop_test(tcase, test_corrupted, 0, FLOW_MESSAGE_KIND_COUNT);
	tcase_add_loop_test(tcase, test_bytes, 0,
			    sizeof(byte_rows) / sizeof(byte_rows[0]));
	tcase_add_loop_test(tcase, test_header, 0,
			    sizeof(header_rows) / sizeof(header_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
