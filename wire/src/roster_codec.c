#include <wire/roster_codec.h>

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <wire/wire_error.h>

#define HEX_BASE 16

static json_t *encode_epoch(const struct roster_epoch *epoch)
{
	json_t *members = json_array();

	for (uint32_t i = 0; i < epoch->member_count; i++)
		json_array_append_new(
			members,
			json_pack("{s:o, s:I}", "node",
				  json_sprintf("%" PRIx64,
					       epoch->members[i].node_id),
				  "zone",
				  (json_int_t)epoch->members[i].zone_id));
	return members;
}

/* Encodes a roster. Free the text with g_free. */
char *roster_encode(const struct roster *roster)
{
	json_t *epochs = json_array();
	json_t *root;
	char *dumped;
	char *text;

	for (uint32_t i = 0; i < roster->epoch_count; i++)
		json_array_append_new(epochs, encode_epoch(&roster->epochs[i]));
	root = json_pack("{s:i, s:I, s:o}", "format", 1, "epoch",
			 (json_int_t)roster->epoch, "epochs", epochs);
	dumped = json_dumps(root, JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(root);
	return text;
}

static bool decode_epoch(struct roster_epoch *epoch, const json_t *members)
{
	size_t index;
	json_t *object;

	if (!json_is_array(members) ||
	    json_array_size(members) > ROSTER_MEMBERS_MAX)
		return false;
	json_array_foreach(members, index, object)
	{
		struct roster_member *member =
			&epoch->members[epoch->member_count++];
		const char *node =
			json_string_value(json_object_get(object, "node"));

		member->node_id =
			node ? g_ascii_strtoull(node, NULL, HEX_BASE) : 0;
		member->zone_id = (uint32_t)json_integer_value(
			json_object_get(object, "zone"));
		if (member->node_id == 0)
			return false;
	}
	return true;
}

static bool decode_root(struct roster *roster, const json_t *root)
{
	const json_t *epochs = json_object_get(root, "epochs");
	size_t index;
	json_t *members;

	roster->epoch =
		(uint64_t)json_integer_value(json_object_get(root, "epoch"));
	if (roster->epoch == 0 || !json_is_array(epochs) ||
	    json_array_size(epochs) > ROSTER_EPOCHS_MAX)
		return false;
	json_array_foreach(epochs, index, members)
	{
		if (!decode_epoch(&roster->epochs[roster->epoch_count++],
				  members))
			return false;
	}
	return roster->epoch_count > 0;
}

/* Decodes a roster. Fails with WIRE_ERROR_MALFORMED. */
bool roster_decode(struct roster *roster, const char *text, size_t length_bytes,
		   GError **error)
{
	json_t *root = json_loadb(text, length_bytes, 0, NULL);
	bool is_valid;

	memset(roster, 0, sizeof(*roster));
	is_valid = decode_root(roster, root);
	json_decref(root);
	if (!is_valid)
		g_set_error_literal(
			error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
			"malformed roster: expected a positive "
			"integer \"epoch\" and an array \"epochs\" of arrays "
			"of members");
	return is_valid;
}
