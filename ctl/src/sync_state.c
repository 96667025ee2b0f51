#include "sync_state.h"

#include <jansson.h>

static void read_line(struct rules_base *base, const json_t *object)
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
 * Reads the base; a file that is not there is an empty one. The caller frees
 * it. Fails with G_FILE_ERROR when the file is there but not readable.
 */
struct rules_base *sync_state_read(const char *path, GError **error)
{
	struct rules_base *base;
	json_error_t cause;
	json_t *root;
	size_t index;
	json_t *object;

	if (!g_file_test(path, G_FILE_TEST_EXISTS))
		return rules_base_new();
	root = json_load_file(path, 0, &cause);
	if (!json_is_array(json_object_get(root, "lines"))) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
			    "%s: expected the state of an earlier sync: %s",
			    path, root ? "no lines" : cause.text);
		json_decref(root);
		return NULL;
	}
	base = rules_base_new();
	json_array_foreach(json_object_get(root, "lines"), index, object)
		read_line(base, object);
	json_decref(root);
	return base;
}

/* Replaces the file in one step. Fails with G_FILE_ERROR. */
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
