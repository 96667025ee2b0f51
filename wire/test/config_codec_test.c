#include <fakes/test_main.h>
#include <string.h>
#include <wire/config_codec.h>

/* A later version, and the length of the fields that it appends. */
#define LATER_VERSION 9
#define APPENDED_BYTES 8

/* Bodies of version 1, which every later version must decode. */
static const struct {
	const char *name;
	enum config_kind kind;
	const char *hex;
} rows[] = {
	{"digest-version-1", CONFIG_DIGEST,
	 "00000001010203040506070811121314151617180000000300000001"
	 "00000000000000020000212200000001"},
	{"pull-version-1", CONFIG_PULL,
	 "00000001010203040506070811121314151617180000000300000001"
	 "0000000000000002000021220000000000000005"},
	{"delta-version-1", CONFIG_DELTA,
	 "00000001010203040506070811121314151617180000000300000001"
	 "00000000000000020000212200000002000000046465736b11223344"
	 "55667788000000000000009900000002000000000000000e6465736b"
	 "20763d322023204c696e00000000000a6465736b2023204c696e0000"
	 "00000002000000000000000700000000000000080000000d7b226f77"
	 "6e6572223a2278227d0000000000000473686f700000000000000000"
	 "00000000000000000000000100000001000000000000000000000000"
	 "00000000"},
	{"roster-version-1", CONFIG_ROSTER,
	 "00000001010203040506070811121314151617180000000300000001"
	 "00000000000000020000212200000002000000020000000000000005"
	 "00000001000000000000000600000002000000010000000000000005"
	 "00000001"},
};

static struct rules_line *sample_line(void)
{
	struct rules_line *line = rules_line_new("desk", "desk v=2 # Lin");

	line->generation = 0x1122334455667788;
	line->change_id = 0x99;
	line->form = 2;
	line->previous_text = g_strdup("desk # Lin");
	line->previous_hash_count = 2;
	line->previous_hashes[0] = 7;
	line->previous_hashes[1] = 8;
	line->extra = g_strdup("{\"owner\":\"x\"}");
	return line;
}

static const struct roster sample_roster = {
	.epoch = 2,
	.epoch_count = 2,
	.epochs = {{.member_count = 2, .members = {{5, 1}, {6, 2}}},
		   {.member_count = 1, .members = {{5, 1}}}},
};

static struct config_message *sample(enum config_kind kind)
{
	struct config_message *message = config_message_new(kind);

	message->revision = 0x0102030405060708;
	message->digest = 0x1112131415161718;
	message->held_line_count = 3;
	message->is_known = true;
	message->roster_epoch = sample_roster.epoch;
	message->since_store_read_ms = 0x2122;
	message->wants_reply = kind == CONFIG_DIGEST;
	message->since_revision = kind == CONFIG_PULL ? 5 : 0;
	if (kind == CONFIG_DELTA) {
		g_ptr_array_add(message->lines, sample_line());
		g_ptr_array_add(message->lines, rules_line_new("shop", NULL));
	}
	if (kind == CONFIG_ROSTER)
		message->roster =
			g_memdup2(&sample_roster, sizeof(sample_roster));
	return message;
}

static GByteArray *from_hex(const char *hex)
{
	GByteArray *bytes = g_byte_array_new();

	for (; *hex; hex += 2) {
		guint8 byte = (guint8)(g_ascii_xdigit_value(hex[0]) * 16 +
				       g_ascii_xdigit_value(hex[1]));

		g_byte_array_append(bytes, &byte, 1);
	}
	return bytes;
}

static bool is_same_line(const struct rules_line *a, const struct rules_line *b)
{
	return strcmp(a->name, b->name) == 0 && strcmp(a->text, b->text) == 0 &&
	       a->generation == b->generation && a->change_id == b->change_id &&
	       a->is_deleted == b->is_deleted && a->form == b->form &&
	       g_strcmp0(a->previous_text, b->previous_text) == 0 &&
	       g_strcmp0(a->extra, b->extra) == 0 &&
	       a->previous_hash_count == b->previous_hash_count &&
	       memcmp(a->previous_hashes, b->previous_hashes,
		      sizeof(a->previous_hashes)) == 0;
}

static void check_lines(const struct config_message *decoded,
			const struct config_message *expected)
{
	ck_assert_uint_eq(decoded->lines->len, expected->lines->len);
	for (guint i = 0; i < decoded->lines->len; i++)
		ck_assert(is_same_line(g_ptr_array_index(decoded->lines, i),
				       g_ptr_array_index(expected->lines, i)));
}

static bool is_same_state(const struct config_message *a,
			  const struct config_message *b)
{
	return a->revision == b->revision && a->digest == b->digest &&
	       a->held_line_count == b->held_line_count &&
	       a->is_known == b->is_known && a->wants_reply == b->wants_reply &&
	       a->since_revision == b->since_revision &&
	       a->roster_epoch == b->roster_epoch &&
	       a->since_store_read_ms == b->since_store_read_ms;
}

static void check_bytes(const GByteArray *bytes, enum config_kind kind)
{
	struct config_message *expected = sample(kind);
	struct config_message *decoded = config_codec_decode(
		config_codec_procedure(kind), bytes->data, bytes->len, NULL);

	ck_assert_ptr_nonnull(decoded);
	ck_assert(is_same_state(decoded, expected));
	if (expected->roster)
		ck_assert_mem_eq(decoded->roster, expected->roster,
				 sizeof(*decoded->roster));
	check_lines(decoded, expected);
	config_message_free(decoded);
	config_message_free(expected);
}

/* Bodies of version 1 decode, and messages still encode to the same bytes. */
START_TEST(test_fixture)
{
	GByteArray *fixture = from_hex(rows[_i].hex);
	struct config_message *message = sample(rows[_i].kind);
	GByteArray *bytes = config_codec_encode(message, NULL);

	test_row("config_codec", rows[_i].name);
	ck_assert_uint_eq(bytes->len, fixture->len);
	ck_assert_mem_eq(bytes->data, fixture->data, bytes->len);
	check_bytes(fixture, rows[_i].kind);
	g_byte_array_free(bytes, TRUE);
	g_byte_array_free(fixture, TRUE);
	config_message_free(message);
}
END_TEST

/* A body with a later version number and appended fields decodes. */
START_TEST(test_later_version)
{
	static const guint8 appended[APPENDED_BYTES] = {1};
	GByteArray *bytes = from_hex(rows[_i].hex);

	bytes->data[3] = LATER_VERSION;
	g_byte_array_append(bytes, appended, APPENDED_BYTES);
	check_bytes(bytes, rows[_i].kind);
	g_byte_array_free(bytes, TRUE);
}
END_TEST

/* Every proper prefix of a body is rejected. */
START_TEST(test_truncated)
{
	GByteArray *bytes = from_hex(rows[_i].hex);

	for (guint length = 0; length < bytes->len; length++) {
		GError *error = NULL;

		ck_assert_ptr_null(config_codec_decode(
			config_codec_procedure(rows[_i].kind), bytes->data,
			length, &error));
		ck_assert_ptr_nonnull(error);
		g_error_free(error);
	}
	g_byte_array_free(bytes, TRUE);
}
END_TEST

START_TEST(test_unknown_procedure)
{
	guint8 bytes[4] = {0};

	ck_assert_ptr_null(config_codec_decode(
		config_codec_procedure(CONFIG_KIND_COUNT), bytes, 4, NULL));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_codec");
	TCase *tcase = tcase_create("codec");

	tcase_add_loop_test(tcase, test_fixture, 0, G_N_ELEMENTS(rows));
	tcase_add_loop_test(tcase, test_later_version, 0, G_N_ELEMENTS(rows));
	tcase_add_loop_test(tcase, test_truncated, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_unknown_procedure);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
