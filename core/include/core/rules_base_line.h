#ifndef CORE_RULES_BASE_LINE_H
#define CORE_RULES_BASE_LINE_H

#include <core/service.h>

/*
 * One line of a merge base: its text as last merged or rejected, or NULL if the
 * line was not in the file, and the generation in the store that the next edit
 * is based on. A rejected line stays rejected until its text changes.
 */
struct rules_base_line {
	char name[SERVICE_NAME_BYTES];
	char *text;
	uint64_t generation;
	bool is_rejected;
};

#endif
