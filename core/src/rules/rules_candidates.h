#ifndef RULES_CANDIDATES_H
#define RULES_CANDIDATES_H

#include <core/rules_document.h>
#include <core/rules_outcome.h>
#include <core/rules_text_line.h>

/*
 * An edit that does not conflict with another operator's. line is NULL for a
 * deletion. refusal is the reason if validation refused the edit, else empty.
 */
struct rules_candidate {
	char name[SERVICE_NAME_BYTES];
	const struct rules_text_line *line;
	char refusal[RULES_REASON_BYTES];
};

/* The edits of one merge, validated against the document and each other. */
struct rules_candidates;

struct rules_candidates *rules_candidates_new(void);
void rules_candidates_free(struct rules_candidates *candidates);
void rules_candidates_add(struct rules_candidates *candidates, const char *name,
			  const struct rules_text_line *line);
void rules_candidates_validate(struct rules_candidates *candidates,
			       const struct rules_document *document);
uint32_t rules_candidates_count(const struct rules_candidates *candidates);
const struct rules_candidate *
rules_candidates_at(const struct rules_candidates *candidates, uint32_t index);
struct rules_line *rules_candidate_next(const struct rules_candidate *candidate,
					const struct rules_line *stored);

#endif
