#include "sync_state.h"

#include <jansson.h>

static void parse_line(struct rules_base *base, const json_t *object)
{
	const char *name =
		json_string_value(json_object_get(object, "service"));
	struct rules_base_line line = {
		.text = (char *)json_string_value(
			json_object_get(object, "text")),
		.generation = (uint64_t)json_integer_value(
			json_object_get(object, "generation")),
		.is_rejected =
			json_is_true(json_object_get(object, "rejected")),
	};

	if (!name)
		return;
	g_strlcpy(line.name, name, SERVICE_NAME_BYTES);
	rules_base_put(base, &line);
}

/*
 * Reads the merge base; returns an empty one if the file does not exist. Free
 * it with rules_base_free. Fails with G_FILE_ERROR if the file is unreadable or
 * invalid.
 */
struct rules_base *sync_state_read(const char *path, GError **error)
{
	struct rules_base *base;
	json_error_t json_error;
	json_t *root;
	size_t index;
	json_t *object;

	if (!g_file_test(path, G_FILE_TEST_EXISTS))
		return rules_base_new();
	root = json_load_file(path, 0, &json_error);
	if (!json_is_array(json_object_get(root, "lines"))) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
			    "%s: invalid sync state file: %s", path,
			    root ? "no array \"lines\"" : json_error.text);
		json_decref(root);
		return NULL;
	}
	base = rules_base_new();
	json_array_foreach(json_object_get(root, "lines"), index, object)
		parse_line(base, object);
	json_decref(root);
	return base;
}

/*
 * Writes the merge base, replacing the file atomically. Fails with
 * G_FILE_ERROR.
 */
bool sync_state_write(const char *path, const struct rules_base *base,
		      GError **error)
{
	json_t *lines = json_array();
	json_t *root = json_pack("{s:i, s:o}", "format", 1, "lines", lines);
	char *text;
	bool is_written;

	for (uint32_t i = 0; i < rules_base_count(base); i++) {
		const struct rules_base_line *line = rules_base_at(base, i);
		json_t *object =
			json_pack("{s:s, s:I, s:b}", "service", line->name,
				  "generation", (json_int_t)line->generation,
				  "rejected", line->is_rejected);

		if (line->text)
			json_object_set_new(object, "text",
					    json_string(line->text));
		json_array_append_new(lines, object);
	}
	text = json_dumps(root, JSON_INDENT(1));
	is_written = g_file_set_contents(path, text, -1, error);
	free(text);
	json_decref(root);
	return is_written;
}
