#include <wire/kv_codec.h>

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <wire/wire_error.h>

#define NUMBER_TEXT_BYTES 24

static json_t *encode_bytes(const char *bytes, size_t length_bytes)
{
	char *text = g_base64_encode((const guchar *)bytes, length_bytes);
	json_t *encoded = json_string(text);

	g_free(text);
	return encoded;
}

static json_t *encode_number(int64_t number)
{
	return json_sprintf("%" PRId64, number);
}

/* The end of the range of all keys that begin with a prefix. */
static json_t *encode_prefix_end(const char *prefix)
{
	char *end = g_strdup(prefix);
	size_t length = strlen(end);
	json_t *encoded;

	if (length > 0)
		end[length - 1]++;
	encoded = encode_bytes(end, length);
	g_free(end);
	return encoded;
}

static char *finish(json_t *root)
{
	char *dumped = json_dumps(root, JSON_COMPACT);
	char *text = g_strdup(dumped);

	free(dumped);
	json_decref(root);
	return text;
}

static json_t *key_object(const char *key, bool is_prefix)
{
	json_t *object = json_object();

	json_object_set_new(object, "key", encode_bytes(key, strlen(key)));
	if (is_prefix)
		json_object_set_new(object, "range_end",
				    encode_prefix_end(key));
	return object;
}

/* Asks for one key, or for all keys that begin with it. */
char *kv_codec_range(const char *key, bool is_prefix)
{
	return finish(key_object(key, is_prefix));
}

static json_t *put_object(const char *key, const char *value,
			  uint32_t value_bytes, int64_t lease_id)
{
	json_t *put = key_object(key, false);

	json_object_set_new(put, "value", encode_bytes(value, value_bytes));
	if (lease_id)
		json_object_set_new(put, "lease", encode_number(lease_id));
	return json_pack("[{s:o}]", "request_put", put);
}

/*
 * Writes a key if its modification revision is the expected one, 0 for a key
 * that must not exist yet; otherwise reads it. Lease 0 is none.
 */
char *kv_codec_put_if(const char *key, int64_t expected_mod_revision,
		      const char *value, uint32_t value_bytes, int64_t lease_id)
{
	json_t *compare = key_object(key, false);
	json_t *read =
		json_pack("[{s:o}]", "request_range", key_object(key, false));

	json_object_set_new(compare, "target", json_string("MOD"));
	json_object_set_new(compare, "result", json_string("EQUAL"));
	json_object_set_new(compare, "mod_revision",
			    encode_number(expected_mod_revision));
	return finish(json_pack("{s:[o], s:o, s:o}", "compare", compare,
				"success",
				put_object(key, value, value_bytes, lease_id),
				"failure", read));
}

/* Asks for a lease of some seconds. */
char *kv_codec_grant(int64_t ttl_s)
{
	return finish(json_pack("{s:o}", "TTL", encode_number(ttl_s)));
}

/* Names a lease, to keep it alive or to revoke it. */
char *kv_codec_lease(int64_t lease_id)
{
	return finish(json_pack("{s:o}", "ID", encode_number(lease_id)));
}

/* Asks for all changes from a revision on; 0 is from now. */
char *kv_codec_watch(const char *key, bool is_prefix, int64_t start_revision)
{
	json_t *create = key_object(key, is_prefix);

	if (start_revision)
		json_object_set_new(create, "start_revision",
				    encode_number(start_revision));
	return finish(json_pack("{s:o}", "create_request", create));
}

/* The gateway leaves zero out and may send numbers either way. */
static int64_t decode_number(const json_t *object, const char *name)
{
	const json_t *value = json_object_get(object, name);

	if (json_is_integer(value))
		return json_integer_value(value);
	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return 0;
}

static char *decode_bytes(const json_t *object, const char *name,
			  uint32_t *length_bytes)
{
	const char *text = json_string_value(json_object_get(object, name));
	gsize length = 0;
	guchar *bytes = text ? g_base64_decode(text, &length) : NULL;
	char *copy = g_malloc(length + 1);

	if (length > 0)
		memcpy(copy, bytes, length);
	copy[length] = '\0';
	*length_bytes = (uint32_t)length;
	g_free(bytes);
	return copy;
}

static void add_entry(struct kv_reply *reply, const json_t *object,
		      bool is_deleted)
{
	struct kv_entry *entry = g_new0(struct kv_entry, 1);
	uint32_t key_bytes;

	entry->key = decode_bytes(object, "key", &key_bytes);
	entry->value = decode_bytes(object, "value", &entry->value_bytes);
	entry->mod_revision = decode_number(object, "mod_revision");
	entry->is_deleted = is_deleted;
	g_ptr_array_add(reply->entries, entry);
}

static void add_entries(struct kv_reply *reply, const json_t *range)
{
	size_t index;
	json_t *object;

	json_array_foreach(json_object_get(range, "kvs"), index, object)
		add_entry(reply, object, false);
}

static void add_events(struct kv_reply *reply, const json_t *root)
{
	size_t index;
	json_t *event;

	json_array_foreach(json_object_get(root, "events"), index, event)
	{
		const char *type =
			json_string_value(json_object_get(event, "type"));

		add_entry(reply, json_object_get(event, "kv"),
			  type && strcmp(type, "DELETE") == 0);
	}
}

static void add_responses(struct kv_reply *reply, const json_t *root)
{
	size_t index;
	json_t *response;

	json_array_foreach(json_object_get(root, "responses"), index, response)
		add_entries(reply, json_object_get(response, "response_range"));
}

static void decode_reply(struct kv_reply *reply, const json_t *root)
{
	reply->store_revision =
		decode_number(json_object_get(root, "header"), "revision");
	reply->is_succeeded = json_is_true(json_object_get(root, "succeeded"));
	reply->is_compacted = decode_number(root, "compact_revision") > 0;
	reply->lease_id = decode_number(root, "ID");
	reply->ttl_s = decode_number(root, "TTL");
	add_entries(reply, root);
	add_events(reply, root);
	add_responses(reply, root);
}

/*
 * Reads any answer of the gateway; a streamed one stands inside "result". The
 * caller frees it with kv_reply_free. Fails with WIRE_ERROR_MALFORMED.
 */
struct kv_reply *kv_codec_reply(const char *text, size_t length_bytes,
				GError **error)
{
	json_error_t cause;
	json_t *root = json_loadb(text, length_bytes, 0, &cause);
	const json_t *body = json_object_get(root, "result");
	struct kv_reply *reply;

	if (!body)
		body = root;
	if (!json_is_object(json_object_get(body, "header"))) {
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
			    "expected a JSON answer with a header: %s",
			    root ? "none" : cause.text);
		json_decref(root);
		return NULL;
	}
	reply = kv_reply_new();
	decode_reply(reply, body);
	json_decref(root);
	return reply;
}
