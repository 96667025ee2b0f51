/* Reading and writing of flow packets, and detection of corrupt ones. */
#include <fakes/flow_packet.h>
#include <fakes/test_main.h>
#include <string.h>

#define DATA "0123456789"
#define LENGTH_BYTES (FLOW_PACKET_HEADER_BYTES + sizeof(DATA) - 1)

/* changed_byte: offset of the byte whose lowest bit is flipped, -1 for none. */
static const struct {
	const char *name;
	int changed_byte;
	uint32_t length_bytes;
	enum flow_packet_result result;
} rows[] = {
	{"whole", -1, LENGTH_BYTES, FLOW_PACKET_VALID},
	{"another-tag", 4, LENGTH_BYTES, FLOW_PACKET_VALID},
	{"other-flags", 0, LENGTH_BYTES, FLOW_PACKET_CORRUPT},
	{"another-caller", 18, LENGTH_BYTES, FLOW_PACKET_CORRUPT},
	{"another-number", 26, LENGTH_BYTES, FLOW_PACKET_CORRUPT},
	{"other-data", FLOW_PACKET_HEADER_BYTES, LENGTH_BYTES,
	 FLOW_PACKET_CORRUPT},
	{"another-length", 8, LENGTH_BYTES, FLOW_PACKET_MALFORMED},
	{"cut", -1, LENGTH_BYTES - 1, FLOW_PACKET_MALFORMED},
	{"shorter-than-a-header", -1, FLOW_PACKET_HEADER_BYTES - 1,
	 FLOW_PACKET_MALFORMED},
};

static struct flow_packet example(void)
{
	struct flow_packet packet = {
		.flags = FLOW_PACKET_ACK,
		.tag = 7,
		.sequence = 0x01020304,
		.acknowledged = 0x05060708,
		.data = (const uint8_t *)DATA,
		.data_bytes = sizeof(DATA) - 1,
	};

	endpoint_parse(&packet.source, "100.64.0.7:40001");
	endpoint_parse(&packet.destination, "198.18.0.1:443");
	return packet;
}

START_TEST(test_reading)
{
	struct flow_packet written = example();
	struct flow_packet read = {.flags = 0};
	uint8_t bytes[FLOW_PACKET_BYTES_MAX];

	test_row("end_packet", rows[_i].name);
	ck_assert_uint_eq(flow_packet_write(bytes, &written), LENGTH_BYTES);
	if (rows[_i].changed_byte >= 0)
		bytes[rows[_i].changed_byte] ^= 1;
	ck_assert_int_eq(flow_packet_read(&read, bytes, rows[_i].length_bytes),
			 rows[_i].result);
	if (rows[_i].result != FLOW_PACKET_VALID)
		return;
	ck_assert(endpoint_equal(&read.source, &written.source));
	ck_assert(endpoint_equal(&read.destination, &written.destination));
	ck_assert_uint_eq(read.sequence, written.sequence);
	ck_assert_uint_eq(read.acknowledged, written.acknowledged);
	ck_assert_mem_eq(read.data, DATA, read.data_bytes);
}
END_TEST

START_TEST(test_injected_reset)
{
	struct flow_packet answered = example();
	struct flow_packet read = {.flags = 0};
	uint8_t bytes[FLOW_PACKET_HEADER_BYTES];

	test_row("end_packet", "reset-written-between-the-ends");
	flow_packet_write_injected_reset(bytes, &answered);
	ck_assert_int_eq(flow_packet_read(&read, bytes, sizeof(bytes)),
			 FLOW_PACKET_INJECTED_RESET);
	ck_assert(endpoint_equal(&read.source, &answered.destination));
	ck_assert_uint_eq(read.sequence, answered.acknowledged);
}
END_TEST

/*
 * Compares a packet with the example in the platform's documentation, except
 * for the checksum.
 */
START_TEST(test_layout)
{
	static const uint8_t expected[] = {
		0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
		0x00, 0x01, 0x00, 0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01,
		0x07, 0x00, 0x40, 0x64, 0x00, 0x00, 0x00, 0x00, 0x44,
		0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00};
	struct flow_packet packet = {.flags = FLOW_PACKET_SYN,
				     .sequence = 0x11223344};
	uint8_t bytes[FLOW_PACKET_BYTES_MAX];

	test_row("end_packet", "layout-of-the-pages");
	endpoint_parse(&packet.source, "100.64.0.7:40001");
	endpoint_parse(&packet.destination, "198.18.0.1:443");
	flow_packet_write(bytes, &packet);
	memset(bytes + 22, 0, 4);
	ck_assert_mem_eq(bytes, expected, sizeof(expected));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("end_packet");
	TCase *tcase = tcase_create("end_packet");

	tcase_add_loop_test(tcase, test_reading, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tcase, test_injected_reset);
	tcase_add_test(tcase, test_layout);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
