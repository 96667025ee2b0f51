/* Tests ONC RPC messages of version 1, and bytes that must be rejected. */
#include <fakes/test_main.h>
#include <glib/gstdio.h>
#include <string.h>
#include <wire/procedure.h>
#include <wire/rpc_codec.h>
#include <wire/wire_error.h>

#define KEY_FILE                                                               \
	"7 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n"
#define OTHER_KEY_FILE                                                         \
	"7 fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210\n"

static const uint8_t body[] = {0, 0, 0, 1, 0xca, 0xfe, 0xf0, 0x0d};

static const struct rpc_message call = {
	.kind = RPC_KIND_CALL,
	.xid = 0x01020304,
	.version = 1,
	.procedure = 17,
	.sender_id = 0x1122334455667788,
	.sequence = 42,
	.sent_s = 1700000000,
	.body = body,
	.length_bytes = sizeof(body),
};

static const struct rpc_message reply = {
	.kind = RPC_KIND_REPLY,
	.xid = 0x01020304,
	.version = 1,
	.status = RPC_STATUS_PROGRAM_MISMATCH,
	.sender_id = 0x1122334455667788,
	.sequence = 43,
	.sent_s = 1700000000,
};

static struct key_ring *make_key_ring(const char *text)
{
	char *path = NULL;
	int fd = g_file_open_tmp("rpc_codec_test_XXXXXX", &path, NULL);
	struct key_ring *ring;

	close(fd);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	ck_assert_int_eq(g_chmod(path, 0600), 0);
	ring = key_ring_read(path, NULL);
	ck_assert_ptr_nonnull(ring);
	g_unlink(path);
	g_free(path);
	return ring;
}

static GByteArray *from_hex(const char *hex)
{
	GByteArray *bytes = g_byte_array_new();

	for (; hex[0]; hex += 2) {
		uint8_t byte = (uint8_t)(g_ascii_xdigit_value(hex[0]) << 4 |
					 g_ascii_xdigit_value(hex[1]));

		g_byte_array_append(bytes, &byte, 1);
	}
	return bytes;
}

/* Messages as encoded by version 1, which every version must decode. */
static const struct {
	const char *name;
	const struct rpc_message *message;
	const char *hex;
} fixture_rows[] = {
	{"version-1-call", &call,
	 "01020304000000000000000220005a1700000001000000110000000000000000"
	 "20005a17000000240000000711223344556677880000002a6553f1003d64847e"
	 "d13796cadc37c350df14f86e00000001cafef00d"},
	{"version-1-reply", &reply,
	 "01020304000000010000000020005a1700000024000000071122334455667788"
	 "0000002b6553f100b1aecf14bb12d4def43babeecc9010e20000000200000001"
	 "00000001"},
};

START_TEST(test_fixture)
{
	const struct rpc_message *expected = fixture_rows[_i].message;
	struct key_ring *ring = make_key_ring(KEY_FILE);
	GByteArray *bytes = from_hex(fixture_rows[_i].hex);
	GByteArray *encoded = rpc_codec_encode(expected, ring, NULL);
	struct rpc_message message;
	GError *error = NULL;

	test_row("rpc", fixture_rows[_i].name);
	ck_assert_uint_eq(encoded->len, bytes->len);
	ck_assert_mem_eq(encoded->data, bytes->data, bytes->len);
	ck_assert_msg(rpc_codec_decode(&message, bytes->data, bytes->len, ring,
				       &error),
		      "%s", error ? error->message : "");
	ck_assert_int_eq(message.kind, expected->kind);
	ck_assert_uint_eq(message.xid, expected->xid);
	ck_assert_uint_eq(message.procedure, expected->procedure);
	ck_assert_int_eq(message.status, expected->status);
	ck_assert_uint_eq(message.sender_id, expected->sender_id);
	ck_assert_uint_eq(message.sequence, expected->sequence);
	ck_assert_uint_eq(message.sent_s, expected->sent_s);
	ck_assert_uint_eq(message.length_bytes, expected->length_bytes);
	ck_assert(message.length_bytes == 0 ||
		  memcmp(message.body, body, sizeof(body)) == 0);
	g_byte_array_free(bytes, TRUE);
	g_byte_array_free(encoded, TRUE);
	key_ring_free(ring);
}
END_TEST

/* Changes to a valid call, and the error that results. */
static const struct {
	const char *name;
	uint32_t flipped_byte;
	int32_t length_change;
	uint32_t version;
	int error;
	const char *key_file;
} invalid_rows[] = {
	{"body-altered", RPC_HEADER_BYTES, 0, 1, WIRE_ERROR_AUTHENTICATION,
	 KEY_FILE},
	{"mac-altered", RPC_HEADER_BYTES - 1, 0, 1, WIRE_ERROR_AUTHENTICATION,
	 KEY_FILE},
	{"sender-altered", 44, 0, 1, WIRE_ERROR_AUTHENTICATION, KEY_FILE},
	{"sequence-altered", 55, 0, 1, WIRE_ERROR_AUTHENTICATION, KEY_FILE},
	{"procedure-altered", 23, 0, 1, WIRE_ERROR_AUTHENTICATION, KEY_FILE},
	{"key-number-unknown", 43, 0, 1, WIRE_ERROR_AUTHENTICATION, KEY_FILE},
	{"wrong-key", 0, 0, 1, WIRE_ERROR_AUTHENTICATION, OTHER_KEY_FILE},
	{"body-truncated", 0, -1, 1, WIRE_ERROR_AUTHENTICATION, KEY_FILE},
	{"body-extended", 0, 4, 1, WIRE_ERROR_AUTHENTICATION, KEY_FILE},
	{"header-truncated", 0, -(int32_t)sizeof(body) - 1, 1,
	 WIRE_ERROR_MALFORMED, KEY_FILE},
	{"four-bytes", 0, -(int32_t)(sizeof(body) + RPC_HEADER_BYTES - 4), 1,
	 WIRE_ERROR_TRUNCATED, KEY_FILE},
	{"empty", 0, -(int32_t)(sizeof(body) + RPC_HEADER_BYTES), 1,
	 WIRE_ERROR_TRUNCATED, KEY_FILE},
	{"neither-call-nor-reply", 7, 0, 1, WIRE_ERROR_MALFORMED, KEY_FILE},
	{"rpc-version-3", 11, 0, 1, WIRE_ERROR_MALFORMED, KEY_FILE},
	{"other-program", 15, 0, 1, WIRE_ERROR_MALFORMED, KEY_FILE},
	{"credential-flavor", 27, 0, 1, WIRE_ERROR_MALFORMED, KEY_FILE},
	{"credential-length", 31, 0, 1, WIRE_ERROR_MALFORMED, KEY_FILE},
	{"verifier-flavor", 35, 0, 1, WIRE_ERROR_MALFORMED, KEY_FILE},
	{"verifier-length-huge", 36, 0, 1, WIRE_ERROR_MALFORMED, KEY_FILE},
	{"older-program-version", 0, 0, 0, WIRE_ERROR_VERSION, KEY_FILE},
	{"later-program-version", 0, 0, 2, WIRE_ERROR_VERSION, KEY_FILE},
};

START_TEST(test_rejected)
{
	struct rpc_message changed = call;
	struct key_ring *signer = make_key_ring(KEY_FILE);
	struct key_ring *verifier = make_key_ring(invalid_rows[_i].key_file);
	struct rpc_message message;
	GError *error = NULL;
	GByteArray *bytes;
	uint32_t length_bytes;

	test_row("rpc", invalid_rows[_i].name);
	changed.version = invalid_rows[_i].version;
	bytes = rpc_codec_encode(&changed, signer, NULL);
	length_bytes = bytes->len;
	g_byte_array_set_size(bytes, length_bytes + 8);
	if (invalid_rows[_i].flipped_byte > 0)
		bytes->data[invalid_rows[_i].flipped_byte] ^= 0x41;
	length_bytes += (uint32_t)invalid_rows[_i].length_change;
	ck_assert(!rpc_codec_decode(&message, bytes->data, length_bytes,
				    verifier, &error));
	ck_assert_msg(error->code == invalid_rows[_i].error, "%s: %s",
		      invalid_rows[_i].name, error->message);
	g_error_free(error);
	g_byte_array_free(bytes, TRUE);
	key_ring_free(signer);
	key_ring_free(verifier);
}
END_TEST

START_TEST(test_too_large)
{
	struct key_ring *ring = make_key_ring(KEY_FILE);
	struct rpc_message large = call;
	GError *error = NULL;

	test_row("rpc", "oversize");
	large.length_bytes = RPC_BODY_BYTES_MAX + 1;
	ck_assert_ptr_null(rpc_codec_encode(&large, ring, &error));
	ck_assert_int_eq(error->code, WIRE_ERROR_TOO_LARGE);
	g_clear_error(&error);
	ck_assert(!rpc_codec_decode(&large, body, RPC_RECORD_BYTES_MAX + 1,
				    ring, &error));
	ck_assert_int_eq(error->code, WIRE_ERROR_TOO_LARGE);
	g_error_free(error);
	key_ring_free(ring);
}
END_TEST

/* Random bytes, half of them with the start of a call, are never accepted. */
START_TEST(test_garbage)
{
	struct key_ring *ring = make_key_ring(KEY_FILE);
	GRand *rand = g_rand_new_with_seed(1);
	static const uint8_t call_start[] = {0, 0, 0, 0, 0, 0, 0, 2};
	uint8_t bytes[256];
	struct rpc_message message;

	test_row("rpc", "garbage");
	for (uint32_t round = 0; round < 20000; round++) {
		uint32_t length = (uint32_t)g_rand_int_range(rand, 0, 257);

		for (uint32_t i = 0; i < length; i++)
			bytes[i] = (uint8_t)g_rand_int(rand);
		if (round % 2 == 0 && length > 8)
			memcpy(bytes + 4, call_start, sizeof(call_start));
		ck_assert(
			!rpc_codec_decode(&message, bytes, length, ring, NULL));
	}
	g_rand_free(rand);
	key_ring_free(ring);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rpc_codec");
	TCase *tcase = tcase_create("rpc_codec");

	tcase_add_loop_test(tcase, test_fixture, 0, G_N_ELEMENTS(fixture_rows));
	tcase_add_loop_test(tcase, test_rejected, 0,
			    G_N_ELEMENTS(invalid_rows));
	tcase_add_test(tcase, test_too_large);
	tcase_add_test(tcase, test_garbage);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
