#ifndef CORE_RULES_BASE_LINE_H
#define CORE_RULES_BASE_LINE_H

#include <core/service.h>

/*
 * One line of an operator's file at its last merge: its text, or NULL if the
 * line was not in the file, and the stored generation that the operator was
 * shown. A rejected line stays rejected until its text changes.
 */
struct rules_base_line {
	char name[SERVICE_NAME_BYTES];
	char *text;
	uint64_t generation;
	bool is_rejected;
};

#endif
