#ifndef CORE_RULES_OUTCOME_H
#define CORE_RULES_OUTCOME_H

#include <core/rule_error.h>
#include <core/service.h>

#define RULES_REASON_BYTES 320

/*
 * The result of merging one line of an operator's file:
 * - RULES_ALREADY_STORED: the store has the same text already.
 * - RULES_ACCEPTED, RULES_DELETED: the edit or deletion was applied.
 * - RULES_CHANGED_ELSEWHERE: another operator changed or deleted a line that
 *   is unedited in this file.
 * - RULES_INVALID: the line has an error.
 * - RULES_CONFLICT: another operator changed or deleted the line since this
 *   file was last merged.
 * - RULES_STALE: the text is one that the line had earlier.
 * - RULES_HELD: the edit was not applied, because the line has a later syntax
 *   version, an address belongs to another service or the document would be too
 *   large; or the deletion was not applied, because it needs a confirmation or
 *   the service name of a line in the file is invalid.
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

/*
 * The verdict on one line, and the reason if there is one to report.
 * line_number is 0 if the line was removed from the file.
 */
struct rules_outcome {
	char name[SERVICE_NAME_BYTES];
	uint32_t line_number;
	uint32_t column;
	enum rules_verdict verdict;
	uint32_t form;
	uint64_t generation;
	char reason[RULES_REASON_BYTES];
};

const char *rules_verdict_name(enum rules_verdict verdict);
bool rules_verdict_is_rejection(enum rules_verdict verdict);

#endif
