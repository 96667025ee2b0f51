#include <core/rules_merge.h>

#include "rules_candidates.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Fewer deletions are a mass deletion only if the file is empty. */
#define MASS_DELETION_LINES_MIN 3

struct rules_merge {
	struct rules_merge_options options;
	struct rules_document *document;
	struct rules_base *base;
	struct rules_candidates *candidates;
	GArray *outcomes;
	uint64_t revision;
	bool has_change;
};

static struct rules_outcome *add_outcome(struct rules_merge *merge,
					 const char *name, uint32_t line_number,
					 enum rules_verdict verdict)
{
	const struct rules_text_line *line =
		rules_text_find(merge->options.text, name);
	struct rules_outcome outcome = {.line_number = line_number,
					.verdict = verdict,
					.form = RULE_FORM_FIRST};

	outcome.column = line_number > 0 ? 1 : 0;
	if (line && line->rule)
		outcome.form = line->rule->form;
	g_strlcpy(outcome.name, name, SERVICE_NAME_BYTES);
	g_array_append_val(merge->outcomes, outcome);
	return &g_array_index(merge->outcomes, struct rules_outcome,
			      merge->outcomes->len - 1);
}

static void update_base(struct rules_merge *merge, const char *name,
			const char *text, uint64_t generation, bool is_rejected)
{
	struct rules_base_line line = {.text = (char *)text,
				       .generation = generation,
				       .is_rejected = is_rejected};

	g_strlcpy(line.name, name, SERVICE_NAME_BYTES);
	rules_base_put(merge->base, &line);
}

static void add_line_error(struct rules_merge *merge,
			   const struct rules_text_line *line)
{
	char text[RULE_ERROR_TEXT_BYTES];
	struct rules_outcome *outcome = add_outcome(
		merge, line->name, line->line_number,
		line->parse_error.is_later_form ? RULES_HELD : RULES_INVALID);

	outcome->column = line->parse_error.column;
	g_strlcpy(outcome->reason, rule_error_format(&line->parse_error, text),
		  RULES_REASON_BYTES);
}

/* Rejects an edit, and records it in the base to reject the same text again. */
static void reject(struct rules_merge *merge,
		   const struct rules_text_line *line,
		   const struct rules_line *stored, enum rules_verdict verdict,
		   const char *advice)
{
	struct rules_outcome *outcome =
		add_outcome(merge, line->name, line->line_number, verdict);

	outcome->generation = stored->generation;
	snprintf(outcome->reason, RULES_REASON_BYTES,
		 "revision %" PRIu64 " %s; %s", stored->generation,
		 stored->is_deleted ? "deleted this line" : "changed this line",
		 advice);
	update_base(merge, line->name, line->text, stored->generation, true);
}

static bool is_same_text(const char *a, const char *b)
{
	return a && b && strcmp(a, b) == 0;
}

/* Reports how others changed a line that the operator did not edit. */
static void report_unedited(struct rules_merge *merge,
			    const struct rules_text_line *line,
			    const struct rules_line *stored,
			    const struct rules_base_line *base)
{
	struct rules_outcome *outcome;

	if (base->is_rejected && stored) {
		reject(merge, line, stored, RULES_CONFLICT,
		       "edit the line again to resubmit it");
		return;
	}
	outcome = add_outcome(merge, line->name, line->line_number,
			      RULES_CHANGED_ELSEWHERE);
	outcome->generation = stored ? stored->generation : 0;
	snprintf(outcome->reason, RULES_REASON_BYTES,
		 "now in the store: %.240s",
		 stored && !stored->is_deleted
			 ? stored->text
			 : "nothing, the line was deleted");
}

static void merge_edit(struct rules_merge *merge,
		       const struct rules_text_line *line,
		       const struct rules_line *stored,
		       const struct rules_base_line *base)
{
	if (stored && rules_line_has_previous_text(stored, line->text)) {
		reject(merge, line, stored, RULES_STALE,
		       "to restore this earlier text, say in its comment who "
		       "asked for it");
		return;
	}
	if (stored && (base ? base->generation != stored->generation
			    : !stored->is_deleted)) {
		reject(merge, line, stored, RULES_CONFLICT,
		       "edit the line again to resubmit it");
		return;
	}
	rules_candidates_add(merge->candidates, line->name, line);
}

static void merge_line(struct rules_merge *merge,
		       const struct rules_text_line *line)
{
	const struct rules_line *stored =
		rules_document_find(merge->options.document, line->name);
	const struct rules_base_line *base =
		rules_base_find(merge->options.base, line->name);

	if (!line->rule) {
		add_line_error(merge, line);
	} else if (stored && !stored->is_deleted &&
		   is_same_text(stored->text, line->text)) {
		add_outcome(merge, line->name, line->line_number,
			    RULES_ALREADY_STORED)
			->generation = stored->generation;
		update_base(merge, line->name, line->text, stored->generation,
			    false);
	} else if (base && is_same_text(base->text, line->text)) {
		report_unedited(merge, line, stored, base);
	} else {
		merge_edit(merge, line, stored, base);
	}
}

/* Returns whether the operator removed a stored line from the file. */
static bool is_removed(const struct rules_merge *merge,
		       const struct rules_base_line *base)
{
	const struct rules_line *stored =
		rules_document_find(merge->options.document, base->name);

	return base->text && stored && !stored->is_deleted &&
	       !rules_text_find(merge->options.text, base->name);
}

static uint32_t count_removed(const struct rules_merge *merge,
			      uint32_t *line_count)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < rules_base_count(merge->options.base); i++) {
		const struct rules_base_line *base =
			rules_base_at(merge->options.base, i);

		*line_count += base->text ? 1 : 0;
		count += is_removed(merge, base) ? 1 : 0;
	}
	return count;
}

/*
 * Returns whether more than half of the file's lines, or all, were removed
 * without a confirmation; the file may be truncated. Such deletions are held
 * until a line of the file confirms them for the document's current revision.
 */
static bool is_mass_deletion(const struct rules_merge *merge)
{
	const struct rules_text *text = merge->options.text;
	uint32_t line_count = 0;
	uint32_t count = count_removed(merge, &line_count);

	if (count == 0 ||
	    rules_text_confirmed_revision(text) ==
		    rules_document_revision(merge->options.document))
		return false;
	return rules_text_count(text) == 0 ||
	       (count >= MASS_DELETION_LINES_MIN && count * 2 > line_count);
}

static void hold_deletion(struct rules_merge *merge, const char *name,
			  bool is_mass)
{
	struct rules_outcome *outcome = add_outcome(merge, name, 0, RULES_HELD);

	if (is_mass)
		snprintf(
			outcome->reason, RULES_REASON_BYTES,
			"most lines were removed; to delete them add the line: "
			"# confirm-deletions=%" PRIu64 " asked by NAME",
			rules_document_revision(merge->options.document));
	else
		snprintf(outcome->reason, RULES_REASON_BYTES,
			 "not deleted while the service name of a line in the "
			 "file is invalid");
}

/*
 * Merges the removal of a line from the file. Removing a rejected line only
 * abandons the edit and does not delete the stored line.
 */
static void merge_deletion(struct rules_merge *merge,
			   const struct rules_base_line *base, bool is_mass)
{
	const struct rules_line *stored =
		rules_document_find(merge->options.document, base->name);
	struct rules_outcome *outcome;

	if (base->is_rejected) {
		update_base(merge, base->name, NULL, base->generation, false);
	} else if (base->generation != stored->generation) {
		outcome = add_outcome(merge, base->name, 0, RULES_CONFLICT);
		outcome->generation = stored->generation;
		snprintf(outcome->reason, RULES_REASON_BYTES,
			 "not deleted: revision %" PRIu64 " changed it to: "
			 "%.200s",
			 stored->generation, stored->text);
		update_base(merge, base->name, NULL, stored->generation, false);
	} else if (is_mass ||
		   rules_text_has_unnamed_line(merge->options.text)) {
		hold_deletion(merge, base->name, is_mass);
	} else {
		rules_candidates_add(merge->candidates, base->name, NULL);
	}
}

static void merge_deletions(struct rules_merge *merge)
{
	bool is_mass = is_mass_deletion(merge);

	for (uint32_t i = 0; i < rules_base_count(merge->options.base); i++) {
		const struct rules_base_line *base =
			rules_base_at(merge->options.base, i);

		if (is_removed(merge, base))
			merge_deletion(merge, base, is_mass);
	}
}

static void report_refusal(struct rules_merge *merge,
			   const struct rules_candidate *candidate)
{
	struct rules_outcome *outcome = add_outcome(
		merge, candidate->name,
		candidate->line ? candidate->line->line_number : 0, RULES_HELD);

	g_strlcpy(outcome->reason, candidate->refusal, RULES_REASON_BYTES);
}

static void apply_candidate(struct rules_merge *merge,
			    const struct rules_candidate *candidate)
{
	const struct rules_text_line *line = candidate->line;
	struct rules_line *next = rules_candidate_next(
		candidate,
		rules_document_find(merge->options.document, candidate->name));

	next->generation = merge->revision;
	next->change_id = merge->options.change_id;
	add_outcome(merge, candidate->name, line ? line->line_number : 0,
		    line ? RULES_ACCEPTED : RULES_DELETED)
		->generation = merge->revision;
	update_base(merge, candidate->name, line ? line->text : NULL,
		    merge->revision, false);
	rules_document_put(merge->document, next);
	merge->has_change = true;
}

static void apply_candidates(struct rules_merge *merge)
{
	uint32_t count = rules_candidates_count(merge->candidates);

	rules_candidates_validate(merge->candidates, merge->options.document);
	for (uint32_t i = 0; i < count; i++) {
		const struct rules_candidate *candidate =
			rules_candidates_at(merge->candidates, i);

		if (candidate->refusal[0])
			report_refusal(merge, candidate);
		else
			apply_candidate(merge, candidate);
	}
	if (merge->has_change)
		rules_document_add_change(merge->document,
					  merge->options.change_id);
}

static gint compare_outcomes(gconstpointer a, gconstpointer b)
{
	const struct rules_outcome *first = a;
	const struct rules_outcome *second = b;

	if (first->line_number != second->line_number)
		return first->line_number < second->line_number ? -1 : 1;
	return strcmp(first->name, second->name);
}

/*
 * Merges the text into a copy of the document. Free the result with
 * rules_merge_free; the objects in options must outlive it. The merge takes
 * effect once rules_merge_document has been written to the store by
 * compare-and-swap against the modification revision that was read.
 */
struct rules_merge *rules_merge_new(const struct rules_merge_options *options)
{
	struct rules_merge *merge = g_new0(struct rules_merge, 1);
	uint64_t previous_revision = rules_document_revision(options->document);

	merge->options = *options;
	merge->document = rules_document_copy(options->document);
	merge->base = rules_base_copy(options->base);
	merge->candidates = rules_candidates_new();
	merge->outcomes =
		g_array_new(FALSE, FALSE, sizeof(struct rules_outcome));
	merge->revision = MAX(previous_revision + 1, options->now_ms);
	for (uint32_t i = 0; i < rules_text_count(options->text); i++)
		merge_line(merge, rules_text_at(options->text, i));
	merge_deletions(merge);
	apply_candidates(merge);
	g_array_sort(merge->outcomes, compare_outcomes);
	return merge;
}

/* Frees the merge and its results; NULL is allowed. */
void rules_merge_free(struct rules_merge *merge)
{
	if (!merge)
		return;
	rules_document_free(merge->document);
	rules_base_free(merge->base);
	rules_candidates_free(merge->candidates);
	g_array_free(merge->outcomes, TRUE);
	g_free(merge);
}

/* Returns whether the document changed and has to be written. */
bool rules_merge_has_change(const struct rules_merge *merge)
{
	return merge->has_change;
}

/* Returns the document to write; it belongs to the merge. */
const struct rules_document *
rules_merge_document(const struct rules_merge *merge)
{
	return merge->document;
}

/* Returns the base to use once the write of the document has taken effect. */
const struct rules_base *rules_merge_base(const struct rules_merge *merge)
{
	return merge->base;
}

/* Returns the number of outcomes. */
uint32_t rules_merge_count(const struct rules_merge *merge)
{
	return merge->outcomes->len;
}

/* Returns an outcome; removed lines come first, then those of the file. */
const struct rules_outcome *rules_merge_at(const struct rules_merge *merge,
					   uint32_t index)
{
	return &g_array_index(merge->outcomes, struct rules_outcome, index);
}

/* Returns the number of lines that need the operator's action. */
uint32_t rules_merge_rejected_count(const struct rules_merge *merge)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < merge->outcomes->len; i++)
		count += rules_verdict_is_rejection(
				 rules_merge_at(merge, i)->verdict)
				 ? 1
				 : 0;
	return count;
}
