/* Packets of the ends of a flow: what a reader makes of changed bytes. */
#include <fakes/end_packet.h>
#include <fakes/test_main.h>
#include <string.h>

#define DATA "0123456789"
#define LENGTH_BYTES (END_PACKET_HEADER_BYTES + sizeof(DATA) - 1)

/* change: the byte that is flipped, -1 for none. */
static const struct {
	const char *name;
	int change;
	uint32_t length_bytes;
	enum end_packet_result result;
} rows[] = {
	{"whole", -1, LENGTH_BYTES, END_PACKET_WHOLE},
	{"another-tag", 4, LENGTH_BYTES, END_PACKET_WHOLE},
	{"other-flags", 0, LENGTH_BYTES, END_PACKET_CHANGED},
	{"another-caller", 18, LENGTH_BYTES, END_PACKET_CHANGED},
	{"another-number", 26, LENGTH_BYTES, END_PACKET_CHANGED},
	{"other-data", END_PACKET_HEADER_BYTES, LENGTH_BYTES,
	 END_PACKET_CHANGED},
	{"another-length", 8, LENGTH_BYTES, END_PACKET_MALFORMED},
	{"cut", -1, LENGTH_BYTES - 1, END_PACKET_MALFORMED},
	{"shorter-than-a-header", -1, END_PACKET_HEADER_BYTES - 1,
	 END_PACKET_MALFORMED},
};

static struct end_packet example(void)
{
	struct end_packet packet = {
		.flags = END_FLAG_ACK,
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
	struct end_packet written = example();
	struct end_packet read = {.flags = 0};
	uint8_t bytes[END_PACKET_BYTES_MAX];

	test_row("end_packet", rows[_i].name);
	ck_assert_uint_eq(end_packet_write(bytes, &written), LENGTH_BYTES);
	if (rows[_i].change >= 0)
		bytes[rows[_i].change] ^= 1;
	ck_assert_int_eq(end_packet_read(&read, bytes, rows[_i].length_bytes),
			 rows[_i].result);
	if (rows[_i].result != END_PACKET_WHOLE)
		return;
	ck_assert(endpoint_equal(&read.source, &written.source));
	ck_assert(endpoint_equal(&read.destination, &written.destination));
	ck_assert_uint_eq(read.sequence, written.sequence);
	ck_assert_uint_eq(read.acknowledged, written.acknowledged);
	ck_assert_mem_eq(read.data, DATA, read.data_bytes);
}
END_TEST

START_TEST(test_foreign_reset)
{
	struct end_packet answered = example();
	struct end_packet read = {.flags = 0};
	uint8_t bytes[END_PACKET_HEADER_BYTES];

	test_row("end_packet", "reset-written-between-the-ends");
	end_packet_write_foreign_reset(bytes, &answered);
	ck_assert_int_eq(end_packet_read(&read, bytes, sizeof(bytes)),
			 END_PACKET_FOREIGN_RESET);
	ck_assert(endpoint_equal(&read.source, &answered.destination));
	ck_assert_uint_eq(read.sequence, answered.acknowledged);
}
END_TEST

/* The example of the platform's pages, byte for byte but for its sum. */
START_TEST(test_layout)
{
	static const uint8_t expected[] = {
		0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
		0x00, 0x01, 0x00, 0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01,
		0x07, 0x00, 0x40, 0x64, 0x00, 0x00, 0x00, 0x00, 0x44,
		0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00};
	struct end_packet packet = {.flags = END_FLAG_SYN,
				    .sequence = 0x11223344};
	uint8_t bytes[END_PACKET_BYTES_MAX];

	test_row("end_packet", "layout-of-the-pages");
	endpoint_parse(&packet.source, "100.64.0.7:40001");
	endpoint_parse(&packet.destination, "198.18.0.1:443");
	end_packet_write(bytes, &packet);
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
	tcase_add_test(tcase, test_foreign_reset);
	tcase_add_test(tcase, test_layout);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
