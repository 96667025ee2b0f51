#ifndef CORE_RULES_TEXT_LINE_H
#define CORE_RULES_TEXT_LINE_H

#include <core/rule.h>

/*
 * One rule line of a rules file. line_number counts from 1; indent_columns is
 * the number of blanks before text. A valid line has a rule. An invalid one has
 * a parse_error, and a name if its first word can be a service name.
 */
struct rules_text_line {
	uint32_t line_number;
	uint32_t indent_columns;
	char name[SERVICE_NAME_BYTES];
	char *text;
	struct rule *rule;
	struct rule_error parse_error;
};

void rules_text_line_free(struct rules_text_line *line);

#endif
