#include <wire/key_ring.h>

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <wire/wire_error.h>

#define KEY_BYTES 32
#define KEY_FILE_BYTES_MAX 4096
#define DIGEST_BYTES 32

struct key {
	uint32_t key_id;
	uint8_t bytes[KEY_BYTES];
};

struct key_ring {
	uint32_t key_count;
	struct key keys[KEY_RING_KEY_COUNT_MAX];
};

static bool fail(GError **error, const char *path, uint32_t line,
		 const char *expected)
{
	g_set_error(error, WIRE_ERROR, WIRE_ERROR_KEY_FILE,
		    "%s:%" G_GUINT32_FORMAT ": expected %s", path, line,
		    expected);
	return false;
}

static bool parse_key_bytes(uint8_t *bytes, const char *text)
{
	if (strlen(text) != 2 * (size_t)KEY_BYTES)
		return false;
	for (uint32_t i = 0; i < KEY_BYTES; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static bool has_key(const struct key_ring *ring, uint32_t key_id)
{
	for (uint32_t i = 0; i < ring->key_count; i++) {
		if (ring->keys[i].key_id == key_id)
			return true;
	}
	return false;
}

static bool parse_key(struct key *key, char *line)
{
	char *separator = strpbrk(line, " \t");
	guint64 key_id;

	if (!separator)
		return false;
	*separator = '\0';
	if (!g_ascii_string_to_unsigned(line, 10, 1, UINT32_MAX, &key_id, NULL))
		return false;
	key->key_id = (uint32_t)key_id;
	return parse_key_bytes(key->bytes, g_strstrip(separator + 1));
}

/* Errors contain only the number of the line, as its text may hold a key. */
static bool parse_line(struct key_ring *ring, const char *path,
		       uint32_t line_number, char *line, GError **error)
{
	struct key key;

	g_strstrip(line);
	if (line[0] == '\0' || line[0] == '#')
		return true;
	if (ring->key_count == KEY_RING_KEY_COUNT_MAX)
		return fail(error, path, line_number, "at most two keys");
	if (!parse_key(&key, line))
		return fail(error, path, line_number,
			    "a key id and 64 hexadecimal digits");
	if (has_key(ring, key.key_id))
		return fail(error, path, line_number, "each key id once");
	ring->keys[ring->key_count++] = key;
	return true;
}

static bool parse_keys(struct key_ring *ring, const char *path, char *text,
		       GError **error)
{
	char *next = text;
	uint32_t line_number = 0;

	while (next) {
		char *line = strsep(&next, "\n");

		if (!parse_line(ring, path, ++line_number, line, error))
			return false;
	}
	if (ring->key_count > 0)
		return true;
	return fail(error, path, line_number, "at least one key");
}

static bool check_file(int fd, const char *path, GError **error)
{
	struct stat status;

	if (fstat(fd, &status) < 0 || !S_ISREG(status.st_mode)) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_KEY_FILE,
			    "%s: expected a regular file", path);
		return false;
	}
	if ((status.st_mode & (S_IRWXG | S_IRWXO)) == 0)
		return true;
	g_set_error(error, WIRE_ERROR, WIRE_ERROR_KEY_FILE,
		    "%s: expected a file that only its owner may access", path);
	return false;
}

static bool read_text(int fd, const char *path, char *text, GError **error)
{
	ssize_t length = read(fd, text, KEY_FILE_BYTES_MAX);

	if (length >= 0 && length < KEY_FILE_BYTES_MAX) {
		text[length] = '\0';
		return true;
	}
	g_set_error(error, WIRE_ERROR, WIRE_ERROR_KEY_FILE,
		    "%s: expected fewer than %d bytes", path,
		    KEY_FILE_BYTES_MAX);
	return false;
}

/*
 * Reads a key file. Each line has a key id and a key of 64 hexadecimal digits,
 * the signing key first; '#' starts a comment line. Only the owner may have
 * access to the file. Free the ring with key_ring_free. Fails with
 * WIRE_ERROR_KEY_FILE; the error never quotes the file.
 */
struct key_ring *key_ring_read(const char *path, GError **error)
{
	struct key_ring *ring;
	char text[KEY_FILE_BYTES_MAX];
	int fd = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
	bool is_valid;

	if (fd < 0) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_KEY_FILE, "%s: %s",
			    path, strerror(errno));
		return NULL;
	}
	ring = g_new0(struct key_ring, 1);
	is_valid = check_file(fd, path, error) &&
		   read_text(fd, path, text, error) &&
		   parse_keys(ring, path, text, error);
	explicit_bzero(text, sizeof(text));
	close(fd);
	if (is_valid)
		return ring;
	key_ring_free(ring);
	return NULL;
}

/* Overwrites the keys with zeros and frees the ring; NULL is allowed. */
void key_ring_free(struct key_ring *ring)
{
	if (!ring)
		return;
	explicit_bzero(ring, sizeof(*ring));
	g_free(ring);
}

/* Returns the id of the key that key_ring_sign uses. */
uint32_t key_ring_signing_key_id(const struct key_ring *ring)
{
	return ring->keys[0].key_id;
}

/* HMAC-SHA256 truncated to 128 bits, as in RFC 4868. */
static void compute_mac(const struct key *key, const struct mac_input *input,
			uint8_t *mac)
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, key->bytes, KEY_BYTES);
	uint8_t digest[DIGEST_BYTES];
	gsize digest_bytes = sizeof(digest);

	g_hmac_update(hmac, input->head, input->head_bytes);
	g_hmac_update(hmac, input->tail, input->tail_bytes);
	g_hmac_get_digest(hmac, digest, &digest_bytes);
	g_hmac_unref(hmac);
	memcpy(mac, digest, MAC_BYTES);
}

/* Writes MAC_BYTES bytes, the MAC of the input under the first key. */
void key_ring_sign(const struct key_ring *ring, const struct mac_input *input,
		   uint8_t *mac)
{
	compute_mac(&ring->keys[0], input, mac);
}

/* Compares in constant time, so that timing does not reveal the MAC. */
static bool is_same_mac(const uint8_t *a, const uint8_t *b)
{
	volatile uint8_t difference = 0;

	for (uint32_t i = 0; i < MAC_BYTES; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}

/* Returns whether mac is the MAC of the input under the key with key_id. */
bool key_ring_verify(const struct key_ring *ring, uint32_t key_id,
		     const struct mac_input *input, const uint8_t *mac)
{
	uint8_t expected[MAC_BYTES];

	for (uint32_t i = 0; i < ring->key_count; i++) {
		if (ring->keys[i].key_id != key_id)
			continue;
		compute_mac(&ring->keys[i], input, expected);
		return is_same_mac(expected, mac);
	}
	return false;
}
