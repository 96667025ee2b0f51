#ifndef CORE_RULES_OUTCOME_H
#define CORE_RULES_OUTCOME_H

#include <core/rule_fault.h>
#include <core/service.h>

#define RULES_REASON_BYTES 320

/*
 * The result of merging one line of an operator's file. RULES_ALREADY_STORED
 * means that the store has the same text already, RULES_INVALID a syntax error,
 * RULES_CONFLICT a concurrent edit by another operator, RULES_STALE a text
 * that the line had earlier, and RULES_HELD an edit that is held back.
 */
enum rules_verdict {
	RULES_ALREADY_STORED,
	RULES_ACCEPTED,
	RULES_DELETED,
	RULES_CHANGED_ELSEWHERE,
	RULES_INVALID,
	RULES_CONFLICT,
	RULES_STALE,
	RULES_HELD,
	RULES_VERDICT_COUNT,
};

/* The verdict on one line; number is 0 for a line removed from the file. */
struct rules_outcome {
	char name[SERVICE_NAME_BYTES];
	uint32_t number;
	uint32_t column;
	enum rules_verdict verdict;
	uint32_t form;
	uint64_t generation;
	char reason[RULES_REASON_BYTES];
};

const char *rules_verdict_name(enum rules_verdict verdict);
bool rules_verdict_is_rejection(enum rules_verdict verdict);

#endif
