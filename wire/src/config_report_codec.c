#include <wire/config_report_codec.h>

#include <inttypes.h>
#include <jansson.h>
#include <wire/wire_error.h>

#define HEX_BASE 16

/* Encodes an array of struct config_report. Free the text with g_free. */
char *config_report_encode(const GArray *reports)
{
	json_t *nodes = json_array();
	json_t *root;
	char *dumped;
	char *text;

	for (guint i = 0; i < reports->len; i++) {
		const struct config_report *report =
			&g_array_index(reports, struct config_report, i);

		json_array_append_new(
			nodes,
			json_pack("{s:o, s:I, s:I, s:o, s:i}", "node",
				  json_sprintf("%" PRIx64, report->node_id),
				  "zone", (json_int_t)report->zone_id,
				  "revision", (json_int_t)report->revision,
				  "digest",
				  json_sprintf("%" PRIx64, report->digest),
				  "held", (int)report->held_line_count));
	}
	root = json_pack("{s:i, s:o}", "format", 1, "nodes", nodes);
	dumped = json_dumps(root, JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(root);
	return text;
}

static uint64_t decode_hex(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? g_ascii_strtoull(text, NULL, HEX_BASE) : 0;
}

static uint64_t decode_integer(const json_t *object, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(object, key));
}

/*
 * Decodes the reports of a zone. Fields of later versions are ignored. Free the
 * array with g_array_unref. Fails with WIRE_ERROR_MALFORMED.
 */
GArray *config_report_decode(const char *text, size_t length_bytes,
			     GError **error)
{
	json_t *root = json_loadb(text, length_bytes, 0, NULL);
	const json_t *nodes = json_object_get(root, "nodes");
	GArray *reports = NULL;
	size_t index;
	json_t *object;

	if (json_is_array(nodes))
		reports =
			g_array_new(FALSE, FALSE, sizeof(struct config_report));
	else
		g_set_error_literal(error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
				    "malformed configuration reports: expected "
				    "array \"nodes\"");
	json_array_foreach(nodes, index, object)
	{
		struct config_report report = {
			.node_id = decode_hex(object, "node"),
			.zone_id = (uint32_t)decode_integer(object, "zone"),
			.held_line_count =
				(uint32_t)decode_integer(object, "held"),
			.revision = decode_integer(object, "revision"),
			.digest = decode_hex(object, "digest"),
		};

		g_array_append_val(reports, report);
	}
	json_decref(root);
	return reports;
}
