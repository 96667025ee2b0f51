#ifndef CORE_RULE_ERROR_H
#define CORE_RULE_ERROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RULE_ERROR_FOUND_BYTES 64
#define RULE_ERROR_TEXT_BYTES 256

/*
 * An error in a rule line: what was expected at a column, and what was found
 * there. Columns count characters from 1. is_later_form is set if the line has
 * a later syntax version than this program supports; such a line is held back
 * and not reported as an operator's error.
 */
struct rule_error {
	uint32_t column;
	bool is_later_form;
	const char *expected;
	char found[RULE_ERROR_FOUND_BYTES];
};

void rule_error_set(struct rule_error *error, const char *line, const char *at,
		    size_t found_bytes, const char *expected);
const char *rule_error_format(const struct rule_error *error, char *text);

#endif
