#include <wire/rules_document_codec.h>

#include <core/rule.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <wire/wire_error.h>

#define HEX_BASE 16

/* The keys that this version knows; other keys are preserved in extra. */
static const char *const document_keys[] = {"format", "changes", "lines", NULL};
static const char *const line_keys[] = {"service", "generation", "change",
					"form",	   "deleted",	 "text",
					"earlier", "former",	 NULL};

static json_t *encode_hex(uint64_t number)
{
	return json_sprintf("%" PRIx64, number);
}

static uint64_t decode_hex(const json_t *value)
{
	const char *text = json_string_value(value);

	return text ? g_ascii_strtoull(text, NULL, HEX_BASE) : 0;
}

static bool is_known_key(const char *const *keys, const char *key)
{
	for (; *keys; keys++) {
		if (strcmp(*keys, key) == 0)
			return true;
	}
	return false;
}

/*
 * Returns the fields whose keys are not in keys, as JSON text, or NULL if there
 * are none. Free the text with g_free.
 */
static char *encode_extra(const json_t *object, const char *const *keys)
{
	json_t *extra = json_object();
	char *dumped = NULL;
	char *text;
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		if (!is_known_key(keys, key))
			json_object_set(extra, key, value);
	}
	if (json_object_size(extra) > 0)
		dumped = json_dumps(extra, JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(extra);
	return text;
}

static void merge_extra(json_t *object, const char *extra)
{
	json_t *fields = extra ? json_loads(extra, 0, NULL) : NULL;

	if (fields)
		json_object_update_missing(object, fields);
	json_decref(fields);
}

static json_t *encode_former(const struct rules_line *line)
{
	json_t *former = json_array();

	for (uint32_t i = 0; i < line->previous_hash_count; i++)
		json_array_append_new(former,
				      encode_hex(line->previous_hashes[i]));
	return former;
}

static json_t *encode_line(const struct rules_line *line)
{
	json_t *object = json_pack("{s:s, s:I, s:o}", "service", line->name,
				   "generation", (json_int_t)line->generation,
				   "change", encode_hex(line->change_id));

	if (line->is_deleted)
		json_object_set_new(object, "deleted", json_true());
	else
		json_object_set_new(object, "text", json_string(line->text));
	if (line->form != RULE_FORM_FIRST)
		json_object_set_new(object, "form", json_integer(line->form));
	if (line->previous_text)
		json_object_set_new(object, "earlier",
				    json_string(line->previous_text));
	if (line->previous_hash_count > 0)
		json_object_set_new(object, "former", encode_former(line));
	merge_extra(object, line->extra);
	return object;
}

static json_t *encode_changes(const struct rules_document *document)
{
	json_t *changes = json_array();

	for (uint32_t i = 0; i < rules_document_change_count(document); i++)
		json_array_append_new(
			changes,
			encode_hex(rules_document_change_at(document, i)));
	return changes;
}

/* Encodes a document and its extra fields. Free the text with g_free. */
char *rules_document_encode(const struct rules_document *document)
{
	json_t *lines = json_array();
	json_t *root;
	char *dumped;
	char *text;

	for (uint32_t i = 0; i < rules_document_count(document); i++)
		json_array_append_new(
			lines, encode_line(rules_document_at(document, i)));
	root = json_pack("{s:i, s:o, s:o}", "format", RULES_DOCUMENT_FORMAT,
			 "changes", encode_changes(document), "lines", lines);
	merge_extra(root, rules_document_extra(document));
	dumped = json_dumps(root, JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(root);
	return text;
}

static void decode_former(struct rules_line *line, const json_t *former)
{
	size_t index;
	json_t *value;

	json_array_foreach(former, index, value)
	{
		if (line->previous_hash_count < RULES_LINE_PREVIOUS_HASHES_MAX)
			line->previous_hashes[line->previous_hash_count++] =
				decode_hex(value);
	}
}

static struct rules_line *decode_line(const json_t *object)
{
	const char *name =
		json_string_value(json_object_get(object, "service"));
	const char *text = json_string_value(json_object_get(object, "text"));
	const json_t *form = json_object_get(object, "form");
	struct rules_line *line;

	if (!name || strlen(name) >= SERVICE_NAME_BYTES ||
	    (!text && !json_is_true(json_object_get(object, "deleted"))))
		return NULL;
	line = rules_line_new(name, text);
	line->generation = (uint64_t)json_integer_value(
		json_object_get(object, "generation"));
	line->change_id = decode_hex(json_object_get(object, "change"));
	if (json_is_integer(form))
		line->form = (uint32_t)json_integer_value(form);
	line->previous_text =
		g_strdup(json_string_value(json_object_get(object, "earlier")));
	decode_former(line, json_object_get(object, "former"));
	line->extra = encode_extra(object, line_keys);
	return line;
}

static bool decode_lines(struct rules_document *document, const json_t *lines)
{
	size_t index;
	json_t *object;

	json_array_foreach(lines, index, object)
	{
		struct rules_line *line = decode_line(object);

		if (!line)
			return false;
		rules_document_put(document, line);
	}
	return json_is_array(lines);
}

static struct rules_document *decode_root(const json_t *root)
{
	struct rules_document *document = rules_document_new();
	char *extra = encode_extra(root, document_keys);
	size_t index;
	json_t *change;

	json_array_foreach(json_object_get(root, "changes"), index, change)
		rules_document_add_change(document, decode_hex(change));
	rules_document_set_extra(document, extra);
	g_free(extra);
	if (decode_lines(document, json_object_get(root, "lines")))
		return document;
	rules_document_free(document);
	return NULL;
}

/*
 * Decodes a value of the store; an empty value is an empty document. A value of
 * a later format is rejected, as writing it back would lose data. Free the
 * document with rules_document_free. Fails with WIRE_ERROR_MALFORMED and
 * WIRE_ERROR_VERSION.
 */
struct rules_document *
rules_document_decode(const char *text, size_t length_bytes, GError **error)
{
	json_error_t parse_error;
	json_t *root;
	struct rules_document *document = NULL;
	json_int_t format;

	if (length_bytes == 0)
		return rules_document_new();
	root = json_loadb(text, length_bytes, 0, &parse_error);
	format = json_integer_value(json_object_get(root, "format"));
	if (format > RULES_DOCUMENT_FORMAT)
		g_set_error(error, WIRE_ERROR, WIRE_ERROR_VERSION,
			    "configuration document has format "
			    "%" JSON_INTEGER_FORMAT
			    ", but this version supports formats up to %d",
			    format, RULES_DOCUMENT_FORMAT);
	else if (format == RULES_DOCUMENT_FORMAT)
		document = decode_root(root);
	if (!document && format <= RULES_DOCUMENT_FORMAT)
		g_set_error_literal(
			error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
			"malformed configuration document: expected "
			"\"format\" and an array \"lines\" whose items "
			"have \"service\", and \"text\" or \"deleted\"");
	json_decref(root);
	return document;
}
