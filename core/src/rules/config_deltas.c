#include "config_deltas.h"

#define DELTA_LINES_MAX 64
#define DELTA_BYTES_MAX 49152

static struct config_message *new_delta(const struct rules_document *document)
{
	struct config_message *delta = config_message_new(CONFIG_DELTA);

	delta->revision = rules_document_revision(document);
	delta->digest = rules_document_digest(document);
	delta->is_known = true;
	return delta;
}

/*
 * Copies all lines with a generation greater than since_revision into
 * CONFIG_DELTA messages of bounded size, each of which can be applied without
 * the others. Free each with config_message_free, and the array with
 * g_ptr_array_free.
 */
GPtrArray *config_deltas_new(const struct rules_document *document,
			     uint64_t since_revision)
{
	GPtrArray *deltas = g_ptr_array_new();
	struct config_message *delta = NULL;
	uint32_t size_bytes = 0;

	for (uint32_t i = 0; i < rules_document_count(document); i++) {
		const struct rules_line *line = rules_document_at(document, i);
		uint32_t line_bytes = rules_line_size_bytes(line);

		if (line->generation <= since_revision)
			continue;
		if (!delta || delta->lines->len >= DELTA_LINES_MAX ||
		    size_bytes + line_bytes > DELTA_BYTES_MAX) {
			delta = new_delta(document);
			g_ptr_array_add(deltas, delta);
			size_bytes = 0;
		}
		g_ptr_array_add(delta->lines, rules_line_copy(line));
		size_bytes += line_bytes;
	}
	return deltas;
}
