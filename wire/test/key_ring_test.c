/* Tests key files and key rotation. Errors must not contain a key. */
#include <fakes/test_main.h>
#include <glib/gstdio.h>
#include <string.h>
#include <wire/key_ring.h>

#define KEY_A "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define KEY_B "fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210"

/* The text and mode of a key file, and part of the error (NULL: none). */
static const struct {
	const char *name;
	const char *text;
	int mode;
	const char *error;
} file_rows[] = {
	{"one-key", "7 " KEY_A "\n", 0600, NULL},
	{"two-keys", "# new first\r\n8 " KEY_B "\r\n7\t" KEY_A, 0600, NULL},
	{"group-readable", "7 " KEY_A "\n", 0640, "only its owner"},
	{"world-readable", "7 " KEY_A "\n", 0604, "only its owner"},
	{"three-keys", "1 " KEY_A "\n2 " KEY_B "\n3 " KEY_A "\n", 0600,
	 ":3: expected at most two"},
	{"same-number", "1 " KEY_A "\n1 " KEY_B "\n", 0600,
	 ":2: expected each key id once"},
	{"short-key", "1 0123456789abcdef\n", 0600, ":1: expected a key"},
	{"not-hexadecimal", "1 x123456789abcdef0123456789abcdef" KEY_A "\n",
	 0600, ":1: expected a key"},
	{"number-zero", "0 " KEY_A "\n", 0600, ":1: expected a key"},
	{"no-number", KEY_A "\n", 0600, ":1: expected a key"},
	{"empty", "", 0600, "at least one key"},
};

static char *write_keys(const char *text, int mode)
{
	char *path = NULL;
	int fd = g_file_open_tmp("key_ring_test_XXXXXX", &path, NULL);

	close(fd);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	ck_assert_int_eq(g_chmod(path, mode), 0);
	return path;
}

START_TEST(test_file)
{
	char *path = write_keys(file_rows[_i].text, file_rows[_i].mode);
	GError *error = NULL;
	struct key_ring *ring = key_ring_read(path, &error);

	test_row("key_file", file_rows[_i].name);
	if (!file_rows[_i].error) {
		ck_assert_msg(ring != NULL, "%s", file_rows[_i].name);
	} else {
		ck_assert_msg(!ring, "%s", file_rows[_i].name);
		ck_assert_msg(strstr(error->message, file_rows[_i].error) !=
				      NULL,
			      "%s", error->message);
		ck_assert(!strstr(error->message, "0123456789abcdef"));
		g_error_free(error);
	}
	key_ring_free(ring);
	g_unlink(path);
	g_free(path);
}
END_TEST

/* Key files of a signer and a verifier during a rotation. */
static const struct {
	const char *name;
	const char *signer;
	const char *verifier;
	bool is_valid;
} rotation_rows[] = {
	{"both-old", "1 " KEY_A, "1 " KEY_A, true},
	{"verifier-has-both", "1 " KEY_A, "1 " KEY_A "\n2 " KEY_B, true},
	{"signer-moved-on", "2 " KEY_B "\n1 " KEY_A, "1 " KEY_A "\n2 " KEY_B,
	 true},
	{"verifier-moved-on", "1 " KEY_A "\n2 " KEY_B, "2 " KEY_B "\n1 " KEY_A,
	 true},
	{"old-key-gone", "1 " KEY_A, "2 " KEY_B, false},
	{"number-reused", "1 " KEY_A, "1 " KEY_B, false},
};

static struct key_ring *make_key_ring(const char *text)
{
	char *path = write_keys(text, 0600);
	struct key_ring *ring = key_ring_read(path, NULL);

	ck_assert_ptr_nonnull(ring);
	g_unlink(path);
	g_free(path);
	return ring;
}

START_TEST(test_rotation)
{
	static const uint8_t head[] = "head";
	static const uint8_t tail[] = "tail";
	struct mac_input input = {head, sizeof(head), tail, sizeof(tail)};
	struct key_ring *signer = make_key_ring(rotation_rows[_i].signer);
	struct key_ring *verifier = make_key_ring(rotation_rows[_i].verifier);
	uint32_t key_id = key_ring_signing_key_id(signer);
	uint8_t mac[MAC_BYTES];

	test_row("key_rotation", rotation_rows[_i].name);
	key_ring_sign(signer, &input, mac);
	ck_assert(key_ring_verify(verifier, key_id, &input, mac) ==
		  rotation_rows[_i].is_valid);
	mac[MAC_BYTES - 1] ^= 1;
	ck_assert(!key_ring_verify(verifier, key_id, &input, mac));
	key_ring_free(signer);
	key_ring_free(verifier);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("key_ring");
	TCase *tcase = tcase_create("key_ring");

	tcase_add_loop_test(tcase, test_file, 0, G_N_ELEMENTS(file_rows));
	tcase_add_loop_test(tcase, test_rotation, 0,
			    G_N_ELEMENTS(rotation_rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
