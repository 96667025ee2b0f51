#include <daemon/settings.h>

#include "settings_schema.h"

#include <daemon/daemon_error.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#define ERROR_TEXT_BYTES 128

/*
 * State of reading one settings file. is_seen has an element for each row of
 * settings_rows. path is used in error messages.
 */
struct settings_reader {
	const char *path;
	yaml_document_t document;
	struct settings *settings;
	bool *is_seen;
	GError **error;
};

static unsigned long line_of(const yaml_node_t *node)
{
	return (unsigned long)node->start_mark.line + 1;
}

static bool fail(struct settings_reader *reader, const yaml_node_t *node,
		 const char *key, const char *expected)
{
	g_set_error(reader->error, DAEMON_ERROR, DAEMON_ERROR_SETTINGS,
		    "%s:%lu: %s: expected %s", reader->path, line_of(node), key,
		    expected);
	return false;
}

static const char *scalar(const yaml_node_t *node)
{
	if (node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

static bool matches_any_key(const struct setting_row *row)
{
	return strcmp(row->key, "*") == 0;
}

static const struct setting_row *find_row(const char *section, const char *key)
{
	for (size_t i = 0; i < settings_row_count; i++) {
		const struct setting_row *row = &settings_rows[i];

		if (strcmp(row->section, section) == 0 &&
		    (matches_any_key(row) || strcmp(row->key, key) == 0))
			return row;
	}
	return NULL;
}

static bool read_value(struct settings_reader *reader, const char *section,
		       const yaml_node_t *key_node,
		       const yaml_node_t *value_node)
{
	const char *key = scalar(key_node);
	const struct setting_row *row = key ? find_row(section, key) : NULL;
	char name[ERROR_TEXT_BYTES];
	char expected[ERROR_TEXT_BYTES];

	snprintf(name, sizeof(name), "%s.%s", section, key ? key : "?");
	if (!row)
		return fail(reader, key_node, name, "a known key");
	if (reader->is_seen[row - settings_rows] && !matches_any_key(row))
		return fail(reader, key_node, name, "the key only once");
	reader->is_seen[row - settings_rows] = true;
	if (scalar(value_node) &&
	    settings_assign(reader->settings, row, key, scalar(value_node)))
		return true;
	settings_describe(row, expected, sizeof(expected));
	return fail(reader, value_node, name, expected);
}

static bool is_section(const char *name)
{
	for (size_t i = 0; name && i < settings_row_count; i++) {
		if (strcmp(settings_rows[i].section, name) == 0)
			return true;
	}
	return false;
}

static bool read_section(struct settings_reader *reader,
			 const yaml_node_t *key_node,
			 const yaml_node_t *section_node)
{
	const char *name = scalar(key_node);
	yaml_node_pair_t *pair;

	if (!is_section(name))
		return fail(reader, key_node, name ? name : "?",
			    "a known section");
	if (section_node->type != YAML_MAPPING_NODE)
		return fail(reader, section_node, name, "a mapping of keys");
	for (pair = section_node->data.mapping.pairs.start;
	     pair < section_node->data.mapping.pairs.top; pair++) {
		if (!read_value(reader, name,
				yaml_document_get_node(&reader->document,
						       pair->key),
				yaml_document_get_node(&reader->document,
						       pair->value)))
			return false;
	}
	return true;
}

static bool read_root(struct settings_reader *reader)
{
	yaml_node_t *root = yaml_document_get_root_node(&reader->document);
	yaml_node_pair_t *pair;

	if (!root || root->type != YAML_MAPPING_NODE) {
		g_set_error(reader->error, DAEMON_ERROR, DAEMON_ERROR_SETTINGS,
			    "%s:1: expected a mapping of sections",
			    reader->path);
		return false;
	}
	for (pair = root->data.mapping.pairs.start;
	     pair < root->data.mapping.pairs.top; pair++) {
		if (!read_section(reader,
				  yaml_document_get_node(&reader->document,
							 pair->key),
				  yaml_document_get_node(&reader->document,
							 pair->value)))
			return false;
	}
	return true;
}

static bool is_required(const struct settings *settings,
			const struct setting_row *row)
{
	switch (row->required) {
	case REQUIRED_NEVER:
		return false;
	case REQUIRED_ALWAYS:
		return true;
	case REQUIRED_BY_HOME:
		return settings->relay.mode == DELIVERY_BY_HOME;
	case REQUIRED_BY_TAG:
		return settings->relay.mode == DELIVERY_BY_TAG;
	}
	return true;
}

static bool apply_defaults(struct settings_reader *reader)
{
	for (size_t i = 0; i < settings_row_count; i++) {
		const struct setting_row *row = &settings_rows[i];

		if (reader->is_seen[i])
			continue;
		if (is_required(reader->settings, row)) {
			g_set_error(reader->error, DAEMON_ERROR,
				    DAEMON_ERROR_SETTINGS,
				    "%s: %s.%s: required, but missing",
				    reader->path, row->section, row->key);
			return false;
		}
		if (row->default_value)
			settings_assign(reader->settings, row, row->key,
					row->default_value);
	}
	return true;
}

static bool load_yaml(struct settings_reader *reader, FILE *file)
{
	yaml_parser_t parser;
	bool is_loaded;

	if (!yaml_parser_initialize(&parser))
		return false;
	yaml_parser_set_input_file(&parser, file);
	is_loaded = yaml_parser_load(&parser, &reader->document);
	if (!is_loaded)
		g_set_error(reader->error, DAEMON_ERROR, DAEMON_ERROR_SETTINGS,
			    "%s:%lu: not YAML: %s", reader->path,
			    (unsigned long)parser.problem_mark.line + 1,
			    parser.problem ? parser.problem : "unreadable");
	yaml_parser_delete(&parser);
	return is_loaded;
}

static bool read_file(struct settings_reader *reader, FILE *file)
{
	bool is_valid;

	if (!load_yaml(reader, file))
		return false;
	is_valid = read_root(reader) && apply_defaults(reader);
	yaml_document_delete(&reader->document);
	return is_valid;
}

/*
 * Reads and validates a settings file. Free the result with settings_free.
 * Fails with DAEMON_ERROR_SETTINGS, also for YAML syntax errors; the message
 * names the file and, where known, line, key and expected value.
 */
struct settings *settings_read(const char *path, GError **error)
{
	struct settings_reader reader = {.path = path, .error = error};
	FILE *file = fopen(path, "re");
	bool is_valid;

	if (!file) {
		g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_SETTINGS,
			    "%s: %s", path, strerror(errno));
		return NULL;
	}
	reader.settings = g_new0(struct settings, 1);
	reader.is_seen = g_new0(bool, settings_row_count);
	is_valid = read_file(&reader, file);
	g_free(reader.is_seen);
	fclose(file);
	if (is_valid)
		return reader.settings;
	settings_free(reader.settings);
	return NULL;
}

/*
 * Returns the section of the first changed setting that a running node cannot
 * apply without a restart, or NULL if there is none.
 */
const char *settings_restart_section(const struct settings *running_settings,
				     const struct settings *reloaded_settings)
{
	for (size_t i = 0; i < settings_row_count; i++) {
		const struct setting_row *row = &settings_rows[i];

		if (strcmp(row->section, "log") != 0 &&
		    !settings_row_equal(running_settings, reloaded_settings,
					row))
			return row->section;
	}
	return NULL;
}

/* Frees settings; NULL is allowed. */
void settings_free(struct settings *settings)
{
	if (!settings)
		return;
	g_free(settings->node_name);
	g_free(settings->zone);
	g_free(settings->region);
	g_free(settings->rules_file);
	g_free(settings->members_seeds);
	g_free(settings->members_key_file);
	g_free(settings->relay.seeds);
	g_free(settings->platform.token_file);
	g_free(settings->platform.key_prefix);
	g_free(settings);
}
