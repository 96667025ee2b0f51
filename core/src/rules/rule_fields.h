#ifndef RULE_FIELDS_H
#define RULE_FIELDS_H

#include <core/rule.h>

/* A part of a line; it is not terminated by a NUL. */
struct span {
	const char *start;
	size_t length;
};

/*
 * The state of parsing one line. seen_fields has a bit for each field found so
 * far; has_incarnation is set if any target has an incarnation.
 */
struct rule_parser {
	const char *line;
	struct rule *rule;
	struct rule_error *error;
	uint32_t seen_fields;
	bool has_incarnation;
};

bool rule_parser_fail(struct rule_parser *parser, struct span found,
		      const char *expected);
bool rule_fields_parse(struct rule_parser *parser, struct span word);
bool rule_fields_check_required(struct rule_parser *parser,
				struct span content);

#endif
