#include <wire/peer_codec.h>

#include <core/zone.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

/* Returns the store key of a node's entry. Free it with g_free. */
char *peer_codec_key(const char *node_name)
{
	return g_strconcat(PEER_KEY_PREFIX, node_name, NULL);
}

/* Encodes a node's store entry. Free the text with g_free. */
char *peer_codec_encode(const struct endpoint *endpoint, const char *zone,
			uint32_t link_mbps)
{
	char address[ENDPOINT_TEXT_BYTES];
	json_t *root = json_pack("{s:s, s:s, s:I}", "peers",
				 endpoint_format(endpoint, address), "zone",
				 zone, "link_mbps", (json_int_t)link_mbps);
	char *dumped = json_dumps(root, JSON_COMPACT);
	char *text = g_strdup(dumped);

	free(dumped);
	json_decref(root);
	return text;
}

/* The field may be missing, but not of another type or out of range. */
static bool read_link(uint32_t *link_mbps, const json_t *root)
{
	const json_t *value = json_object_get(root, "link_mbps");

	*link_mbps = 0;
	if (!value)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > UINT32_MAX)
		return false;
	*link_mbps = (uint32_t)json_integer_value(value);
	return true;
}

/*
 * Decodes a node's entry. Returns false if the key lacks PEER_KEY_PREFIX or the
 * value is malformed.
 */
bool peer_codec_decode(struct relay_peer *peer, const char *key,
		       const char *value, uint32_t value_bytes)
{
	json_t *root;
	const char *address;
	const char *zone;
	bool is_valid;

	if (!g_str_has_prefix(key, PEER_KEY_PREFIX))
		return false;
	root = json_loadb(value, value_bytes, 0, NULL);
	address = json_string_value(json_object_get(root, "peers"));
	zone = json_string_value(json_object_get(root, "zone"));
	is_valid = address && zone &&
		   endpoint_parse(&peer->endpoint, address) &&
		   read_link(&peer->link_mbps, root);
	if (is_valid) {
		peer->node_id =
			relay_peer_id_from_name(key + strlen(PEER_KEY_PREFIX));
		peer->zone_id = zone_id_from_name(zone);
	}
	json_decref(root);
	return is_valid;
}
