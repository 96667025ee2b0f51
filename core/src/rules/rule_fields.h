#ifndef RULE_FIELDS_H
#define RULE_FIELDS_H

#include <core/rule.h>

/* A part of a line, without a terminating NUL. */
struct span {
	const char *start;
	size_t length;
};

/* The state of parsing one line; seen has a bit for each field found so far. */
struct rule_scan {
	const char *line;
	struct rule *rule;
	struct rule_fault *fault;
	uint32_t seen;
	bool has_incarnation;
};

bool rule_scan_fail(struct rule_scan *scan, struct span found,
		    const char *expected);
bool rule_fields_read(struct rule_scan *scan, struct span word);
bool rule_fields_check_required(struct rule_scan *scan, struct span content);

#endif
