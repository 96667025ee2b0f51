/* Tests valid, truncated, malformed and randomly modified packets. */
#include <fakes/test_main.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <wire/packet.h>

#define MUTATION_SEED 20261204
#define MUTATION_COUNT 200000
#define CHANGES_MAX 4

/* A TCP SYN from 192.0.2.1:1000 to 10.0.0.1:80. */
static const uint8_t tcp4[] = {
	0x45, 0,    0, 40, 0, 0, 0, 0, 64, 6, 0, 0, 192,  0, 2, 1, 10, 0, 0, 1,
	0x03, 0xe8, 0, 80, 0, 0, 0, 0, 0,  0, 0, 0, 0x50, 2, 0, 0, 0,  0, 0, 0,
};

/* A UDP datagram from 192.0.2.1:1000 to 10.0.0.1:53. */
static const uint8_t udp4[] = {
	0x45, 0, 0,  28, 0, 0, 0,    0,	   64, 17, 0, 0, 192, 0,
	2,    1, 10, 0,	 0, 1, 0x03, 0xe8, 0,  53, 0, 8, 0,   0,
};

/* A TCP ACK from 2001:db8::1 port 1000 to 2001:db8::2 port 80. */
static const uint8_t tcp6[] = {
	0x60, 0, 0, 0, 0, 20, 6, 64,   0x20, 0x01, 0x0d, 0xb8, 0,    0,	 0,
	0,    0, 0, 0, 0, 0,  0, 0,    1,    0x20, 0x01, 0x0d, 0xb8, 0,	 0,
	0,    0, 0, 0, 0, 0,  0, 0,    0,    2,	   0x03, 0xe8, 0,    80, 0,
	0,    0, 0, 0, 0, 0,  0, 0x50, 0x10, 0,	   0,	 0,    0,    0,	 0,
};

/* A valid packet with its length and one byte set, and the expected result. */
static const struct {
	const char *name;
	const uint8_t *bytes;
	size_t length_bytes;
	size_t offset;
	uint8_t value;
	bool is_accepted;
} rows[] = {
	{"ipv4-tcp", tcp4, sizeof(tcp4), 0, 0x45, true},
	{"ipv4-udp", udp4, sizeof(udp4), 0, 0x45, true},
	{"ipv6-tcp", tcp6, sizeof(tcp6), 0, 0x60, true},
	{"empty", tcp4, 0, 0, 0, false},
	{"one-byte", tcp4, 1, 0, 0x45, false},
	{"ipv4-header-cut", tcp4, 19, 0, 0x45, false},
	{"ipv4-ports-cut", tcp4, 23, 0, 0x45, false},
	{"ipv4-tcp-cut", tcp4, sizeof(tcp4) - 1, 0, 0x45, false},
	{"ipv6-header-cut", tcp6, 39, 0, 0x60, false},
	{"ipv6-payload-cut", tcp6, sizeof(tcp6) - 1, 0, 0x60, false},
	{"version-0", tcp4, sizeof(tcp4), 0, 0x05, false},
	{"version-15", tcp4, sizeof(tcp4), 0, 0xf5, false},
	{"header-length-short", tcp4, sizeof(tcp4), 0, 0x44, false},
	{"header-length-beyond", tcp4, sizeof(tcp4), 0, 0x4f, false},
	{"total-length-beyond", tcp4, sizeof(tcp4), 3, 41, false},
	{"total-length-short", tcp4, sizeof(tcp4), 3, 10, false},
	{"more-fragments", tcp4, sizeof(tcp4), 6, 0x20, false},
	{"later-fragment", tcp4, sizeof(tcp4), 7, 1, false},
	{"dont-fragment", tcp4, sizeof(tcp4), 6, 0x40, true},
	{"other-protocol", tcp4, sizeof(tcp4), 9, 1, false},
	{"ipv6-other-header", tcp6, sizeof(tcp6), 6, 43, false},
};

/* Parses a copy of exact size, so that sanitizers detect reads past its end. */
static bool parse_copy(struct packet_event *event, const uint8_t *bytes,
		       size_t length_bytes)
{
	uint8_t *copy = g_memdup2(bytes, length_bytes);
	bool is_accepted = packet_parse(event, copy, length_bytes);

	g_free(copy);
	return is_accepted;
}

START_TEST(test_packet)
{
	uint8_t bytes[sizeof(tcp6)];
	struct packet_event event;

	test_row("packet_input", rows[_i].name);
	memcpy(bytes, rows[_i].bytes, rows[_i].length_bytes);
	bytes[rows[_i].offset] = rows[_i].value;
	ck_assert(parse_copy(&event, bytes, rows[_i].length_bytes) ==
		  rows[_i].is_accepted);
}
END_TEST

static const struct {
	const uint8_t *bytes;
	size_t length_bytes;
} valid_packets[] = {
	{tcp4, sizeof(tcp4)},
	{udp4, sizeof(udp4)},
	{tcp6, sizeof(tcp6)},
};

static size_t mutate(GRand *rand, uint8_t *bytes, size_t length_bytes)
{
	int change_count = g_rand_int_range(rand, 0, CHANGES_MAX);

	for (int i = 0; i < change_count; i++)
		bytes[g_rand_int_range(rand, 0, (gint32)length_bytes)] =
			(uint8_t)g_rand_int_range(rand, 0, 256);
	return (size_t)g_rand_int_range(rand, 0, (gint32)length_bytes + 1);
}

/* Modified packets that are accepted have a valid protocol and kind. */
START_TEST(test_mutations)
{
	GRand *rand = g_rand_new_with_seed(MUTATION_SEED);
	uint32_t accepted_count = 0;

	test_row("packet_input", "mutations");
	for (int i = 0; i < MUTATION_COUNT; i++) {
		size_t packet = (size_t)i % G_N_ELEMENTS(valid_packets);
		uint8_t bytes[sizeof(tcp6)];
		struct packet_event event;
		size_t length_bytes;

		memcpy(bytes, valid_packets[packet].bytes,
		       valid_packets[packet].length_bytes);
		length_bytes =
			mutate(rand, bytes, valid_packets[packet].length_bytes);
		if (!parse_copy(&event, bytes, length_bytes))
			continue;
		accepted_count++;
		ck_assert(event.key.protocol == IPPROTO_TCP ||
			  event.key.protocol == IPPROTO_UDP);
		ck_assert_int_le(event.kind, PACKET_RESET);
	}
	ck_assert_uint_gt(accepted_count, 0);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("packet_input");
	TCase *tcase = tcase_create("packet_input");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_packet, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_mutations);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
