#ifndef CORE_RULES_BASE_LINE_H
#define CORE_RULES_BASE_LINE_H

#include <core/service.h>

/*
 * One line of an operator's file as last merged: its text, NULL where the
 * file had none, and the generation in the store that the operator was shown.
 * A line that was rejected stays rejected until its text changes.
 */
struct rules_base_line {
	char name[SERVICE_NAME_BYTES];
	char *text;
	uint64_t generation;
	bool is_rejected;
};

#endif
