#include "rule_fields.h"

#include <core/core_error.h>
#include <string.h>

#define TIMEOUT_DEFAULT_MS 10000

static bool is_blank(char byte)
{
	return byte == ' ' || byte == '\t' || byte == '\r';
}

static struct span trim(struct span span)
{
	while (span.length > 0 && is_blank(span.start[0])) {
		span.start++;
		span.length--;
	}
	while (span.length > 0 && is_blank(span.start[span.length - 1]))
		span.length--;
	return span;
}

static bool next_word(struct span *rest, struct span *word)
{
	*rest = trim(*rest);
	word->start = rest->start;
	word->length = 0;
	while (word->length < rest->length &&
	       !is_blank(rest->start[word->length]))
		word->length++;
	rest->start += word->length;
	rest->length -= word->length;
	return word->length > 0;
}

/* Rejects lines that are too long, contain NUL bytes or are not UTF-8. */
static bool check_bytes(struct rule_parser *parser, struct span line)
{
	const char *nul = memchr(line.start, '\0', line.length);
	const char *end;

	if (line.length > RULE_LINE_BYTES_MAX)
		return rule_parser_fail(parser, (struct span){line.start, 0},
					"a line of at most 65536 bytes");
	if (nul)
		return rule_parser_fail(parser, (struct span){nul, 1},
					"text without NUL bytes");
	if (g_utf8_validate(line.start, (gssize)line.length, &end))
		return true;
	return rule_parser_fail(parser, (struct span){end, 0}, "UTF-8 text");
}

/* Removes the comment, which is mandatory, from the line and stores it. */
static bool parse_comment(struct rule_parser *parser, struct span *line)
{
	const char *hash = memchr(line->start, '#', line->length);
	struct span comment = {line->start + line->length, 0};

	if (hash) {
		comment.start = hash + 1;
		comment.length =
			line->length - (size_t)(comment.start - line->start);
		comment = trim(comment);
		line->length = (size_t)(hash - line->start);
	}
	if (comment.length == 0)
		return rule_parser_fail(parser, comment,
					"# and who asked for the rule");
	parser->rule->comment = g_strndup(comment.start, comment.length);
	return true;
}

static bool is_name_byte(char byte)
{
	return g_ascii_isalnum(byte) || byte == '-' || byte == '_' ||
	       byte == '.';
}

static bool parse_name(struct rule_parser *parser, struct span word)
{
	struct service *service = &parser->rule->service;

	if (word.length == 0 || word.length >= SERVICE_NAME_BYTES)
		return rule_parser_fail(parser, word,
					"a service name of 1 to 63 bytes");
	for (size_t i = 0; i < word.length; i++) {
		if (!is_name_byte(word.start[i]))
			return rule_parser_fail(parser, word,
						"a service name of letters, "
						"digits, -, _ and .");
	}
	memcpy(service->name, word.start, word.length);
	service->name[word.length] = '\0';
	service->service_id = service_id_from_name(service->name);
	return true;
}

/*
 * Checks the syntax version before parsing the other fields, because fields of
 * a later version would be reported as errors.
 */
static bool check_form(struct rule_parser *parser, struct span rest)
{
	struct rule_parser form_parser = *parser;
	struct span word;

	while (next_word(&rest, &word)) {
		if (word.length > 2 && strncmp(word.start, "v=", 2) == 0)
			return rule_fields_parse(&form_parser, word);
	}
	return true;
}

static bool parse_words(struct rule_parser *parser, struct span rest)
{
	struct span content = trim(rest);
	struct span word;

	next_word(&rest, &word);
	if (!parse_name(parser, word) || !check_form(parser, rest))
		return false;
	while (next_word(&rest, &word)) {
		if (!rule_fields_parse(parser, word))
			return false;
	}
	return rule_fields_check_required(parser, content);
}

static void assign_target_ids(struct rule *rule)
{
	for (uint32_t i = 0; i < rule->target_count; i++) {
		rule->targets[i].service_id = rule->service.service_id;
		rule->targets[i].target_id = target_id_of(&rule->targets[i]);
	}
}

/*
 * Parses one rule line: a service name, name=value fields and, after '#', a
 * comment that says who requested the rule. The line need not end with a NUL.
 * Free the rule with rule_free. Returns NULL and sets the error if the line is
 * invalid.
 */
struct rule *rule_parse_bytes(const char *line, size_t length_bytes,
			      struct rule_error *error)
{
	struct rule *rule = g_new0(struct rule, 1);
	struct span span = {line, length_bytes};
	struct rule_parser parser = {
		.line = line, .rule = rule, .error = error};

	rule->form = RULE_FORM_FIRST;
	rule->service.timeout_ms = TIMEOUT_DEFAULT_MS;
	rule->service.work_class = CLASS_NORMAL;
	if (check_bytes(&parser, span) && parse_comment(&parser, &span) &&
	    parse_words(&parser, span)) {
		assign_target_ids(rule);
		return rule;
	}
	rule_free(rule);
	return NULL;
}

/*
 * Parses one rule line that ends with a NUL, like rule_parse_bytes. Fails with
 * CORE_ERROR_RULE and a message that gives the column.
 */
struct rule *rule_parse(const char *line, GError **error)
{
	struct rule_error parse_error;
	char text[RULE_ERROR_TEXT_BYTES];
	struct rule *rule = rule_parse_bytes(line, strlen(line), &parse_error);

	if (!rule)
		g_set_error(error, CORE_ERROR, CORE_ERROR_RULE, "column %u: %s",
			    parse_error.column,
			    rule_error_format(&parse_error, text));
	return rule;
}
