#include <fakes/test_main.h>
#include <string.h>
#include <wire/claim_codec.h>
#include <wire/wire_error.h>

#define GARBAGE_ROUNDS 2000

/* One message of each kind and its body as encoded by version 1. */
static const struct {
	const char *name;
	struct claim_message message;
	const char *hex;
} rows[] = {
	{"ask",
	 {.kind = CLAIM_MESSAGE_REQUEST,
	  .epoch = 5,
	  .key = {1, 2},
	  .token = {3, 4}},
	 "000000010000000000000005000000000000000100000000000000020000000000000"
	 "003000000000000000400000000"},
	{"verdict",
	 {.kind = CLAIM_MESSAGE_VERDICT,
	  .epoch = 5,
	  .key = {1, 2},
	  .token = {3, 4},
	  .verdict = CLAIM_VERDICT_TAKEN},
	 "000000010000000000000005000000000000000100000000000000020000000000000"
	 "003000000000000000400000002"},
	{"release",
	 {.kind = CLAIM_MESSAGE_RELEASE,
	  .epoch = 5,
	  .key = {1, 2},
	  .token = {3, 4}},
	 "000000010000000000000005000000000000000100000000000000020000000000000"
	 "003000000000000000400000000"},
	{"fetch",
	 {.kind = CLAIM_MESSAGE_FETCH,
	  .epoch = 5,
	  .token = {.request_id = 4},
	  .cursor = 9},
	 "000000010000000000000005000000000000000400000000000000090000000000000"
	 "000"},
	{"page",
	 {.kind = CLAIM_MESSAGE_PAGE,
	  .epoch = 5,
	  .token = {.request_id = 4},
	  .cursor = 9,
	  .is_last = true,
	  .entry_count = 1,
	  .entries = {{{1, 2}, {3, 4}, 6}}},
	 "000000010000000000000005000000000000000400000000000000090000000100000"
	 "001000000000000000100000000000000020000000000000003000000000000000400"
	 "000006"},
	{"probe",
	 {.kind = CLAIM_MESSAGE_PROBE, .epoch = 5, .sent_ms = 7},
	 "0000000100000000000000050000000000000007"},
	{"probe answer",
	 {.kind = CLAIM_MESSAGE_PROBE_REPLY, .epoch = 5, .sent_ms = 7},
	 "0000000100000000000000050000000000000007"},
	{"roster",
	 {.kind = CLAIM_MESSAGE_ROSTER,
	  .epoch = 2,
	  .roster = {2, 2, {{1, {{11, 1}}}, {1, {{12, 2}}}}}},
	 "00000001000000000000000200000002"
	 "00000001000000000000000b00000001"
	 "00000001000000000000000c00000002"},
};

#define ROW_COUNT (sizeof(rows) / sizeof(rows[0]))

static GByteArray *from_hex(const char *hex)
{
	GByteArray *bytes = g_byte_array_new();

	for (; *hex; hex += 2) {
		guint8 byte = (guint8)(g_ascii_xdigit_value(hex[0]) << 4 |
				       g_ascii_xdigit_value(hex[1]));

		g_byte_array_append(bytes, &byte, 1);
	}
	return bytes;
}

static void assert_same_page(const struct claim_message *a,
			     const struct claim_message *b)
{
	ck_assert_uint_eq(a->cursor, b->cursor);
	ck_assert_int_eq(a->is_last, b->is_last);
	ck_assert_uint_eq(a->entry_count, b->entry_count);
	ck_assert_uint_eq(a->entries[0].age_ms, b->entries[0].age_ms);
}

static void assert_same_roster(const struct roster *a, const struct roster *b)
{
	ck_assert_uint_eq(a->epoch_count, b->epoch_count);
	ck_assert_uint_eq(a->epochs[1].members[0].zone_id,
			  b->epochs[1].members[0].zone_id);
}

static void assert_same(const struct claim_message *a,
			const struct claim_message *b)
{
	ck_assert_int_eq(a->kind, b->kind);
	ck_assert_uint_eq(a->epoch, b->epoch);
	ck_assert(hash128_equal(a->key, b->key));
	ck_assert_uint_eq(a->token.request_id, b->token.request_id);
	ck_assert_uint_eq(a->token.node_id, b->token.node_id);
	ck_assert_int_eq(a->verdict, b->verdict);
	ck_assert_int_eq(a->sent_ms, b->sent_ms);
	assert_same_page(a, b);
	assert_same_roster(&a->roster, &b->roster);
}

/* Bodies of version 1 decode, also with fields of a later version appended. */
START_TEST(test_fixture)
{
	struct claim_message message;
	GByteArray *fixture = from_hex(rows[_i].hex);
	uint32_t procedure = claim_codec_procedure(rows[_i].message.kind);
	GByteArray *encoded = claim_codec_encode(&rows[_i].message, NULL);

	test_row("claim_codec", rows[_i].name);
	ck_assert_uint_eq(encoded->len, fixture->len);
	ck_assert_int_eq(memcmp(encoded->data, fixture->data, fixture->len), 0);
	ck_assert(claim_codec_decode(&message, procedure, fixture->data,
				     fixture->len, NULL));
	assert_same(&message, &rows[_i].message);
	g_byte_array_append(fixture, (const guint8 *)"\0\0\0\1", 4);
	fixture->data[3] = 2;
	ck_assert(claim_codec_decode(&message, procedure, fixture->data,
				     fixture->len, NULL));
	assert_same(&message, &rows[_i].message);
	g_byte_array_free(encoded, TRUE);
	g_byte_array_free(fixture, TRUE);
}
END_TEST

/* Every proper prefix of a body is rejected. */
START_TEST(test_truncated)
{
	struct claim_message message;
	GByteArray *fixture = from_hex(rows[_i].hex);
	uint32_t procedure = claim_codec_procedure(rows[_i].message.kind);

	for (guint length = 0; length < fixture->len; length++) {
		uint8_t *bytes = g_memdup2(fixture->data, length);
		GError *error = NULL;

		ck_assert(!claim_codec_decode(&message, procedure, bytes,
					      length, &error));
		ck_assert(g_error_matches(error, WIRE_ERROR,
					  WIRE_ERROR_MALFORMED));
		g_error_free(error);
		g_free(bytes);
	}
	g_byte_array_free(fixture, TRUE);
}
END_TEST

/* Counts and enum values decoded from corrupted bodies are within bounds. */
START_TEST(test_garbage)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	GByteArray *fixture = from_hex(rows[_i].hex);
	uint32_t procedure = claim_codec_procedure(rows[_i].message.kind);

	for (int i = 0; i < GARBAGE_ROUNDS; i++) {
		struct claim_message message;
		uint8_t *bytes = g_memdup2(fixture->data, fixture->len);
		gint32 offset = g_rand_int_range(rand, 4, (gint32)fixture->len);

		bytes[offset] = (uint8_t)g_rand_int(rand);
		bytes[offset ^ 1] = (uint8_t)g_rand_int(rand);
		if (claim_codec_decode(&message, procedure, bytes, fixture->len,
				       NULL)) {
			ck_assert_uint_le(message.entry_count,
					  CLAIM_PAGE_ENTRIES_MAX);
			ck_assert_uint_le(message.roster.epoch_count,
					  ROSTER_EPOCHS_MAX);
			ck_assert_int_lt(message.verdict, CLAIM_VERDICT_COUNT);
		}
		g_free(bytes);
	}
	g_byte_array_free(fixture, TRUE);
	g_rand_free(rand);
}
END_TEST

/* Invalid bodies and procedures, and the error for each. */
static const struct {
	const char *name;
	const char *hex;
	uint32_t procedure;
	enum wire_error code;
} invalid_rows[] = {
	{"format 0", "0000000000000000000000050000000000000007", 37,
	 WIRE_ERROR_VERSION},
	{"procedure before the range", "00000001", 31, WIRE_ERROR_VERSION},
	{"procedure behind the range", "00000001", 40, WIRE_ERROR_VERSION},
	{"roster without members", "0000000100000000000000020000000100000000",
	 39, WIRE_ERROR_MALFORMED},
	{"roster without an epoch", "00000001000000000000000200000000", 39,
	 WIRE_ERROR_MALFORMED},
	{"verdict out of range",
	 "000000010000000000000005000000000000000100000000000000020000000000000"
	 "003000000000000000400000009",
	 33, WIRE_ERROR_MALFORMED},
	{"too many entries",
	 "000000010000000000000005000000000000000400000000000000090000000100000"
	 "019",
	 36, WIRE_ERROR_MALFORMED},
};

START_TEST(test_rejected)
{
	struct claim_message message;
	GByteArray *bytes = from_hex(invalid_rows[_i].hex);
	GError *error = NULL;

	test_row("claim_codec", invalid_rows[_i].name);
	ck_assert(!claim_codec_decode(&message, invalid_rows[_i].procedure,
				      bytes->data, bytes->len, &error));
	ck_assert(g_error_matches(error, WIRE_ERROR,
				  (gint)invalid_rows[_i].code));
	g_error_free(error);
	g_byte_array_free(bytes, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claim_codec");
	TCase *tcase = tcase_create("codec");

	tcase_add_loop_test(tcase, test_fixture, 0, ROW_COUNT);
	tcase_add_loop_test(tcase, test_truncated, 0, ROW_COUNT);
	tcase_add_loop_test(tcase, test_garbage, 0, ROW_COUNT);
	tcase_add_loop_test(tcase, test_rejected, 0,
			    sizeof(invalid_rows) / sizeof(invalid_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
