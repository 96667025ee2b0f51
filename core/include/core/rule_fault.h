#ifndef CORE_RULE_FAULT_H
#define CORE_RULE_FAULT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RULE_FAULT_FOUND_BYTES 64
#define RULE_FAULT_TEXT_BYTES 256

/*
 * A syntax error in a rule line. The column counts characters from 1.
 * is_later_form is set if the line uses a form that this version does not
 * support; such a line is held back and not reported as an operator's error.
 */
struct rule_fault {
	uint32_t column;
	bool is_later_form;
	const char *expected;
	char found[RULE_FAULT_FOUND_BYTES];
};

void rule_fault_set(struct rule_fault *fault, const char *line, const char *at,
		    size_t found_bytes, const char *expected);
const char *rule_fault_format(const struct rule_fault *fault, char *text);

#endif
