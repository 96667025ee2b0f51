#ifndef CORE_RULES_MERGE_H
#define CORE_RULES_MERGE_H

#include <core/rules_base.h>
#include <core/rules_document.h>
#include <core/rules_outcome.h>
#include <core/rules_text.h>

/*
 * A three-way merge, line by line, of an operator's file with the configuration
 * in the store. The base is the file as last merged.
 */
struct rules_merge;

/* now_ms is wall-clock time; change_id identifies the write of the document. */
struct rules_merge_options {
	const struct rules_text *text;
	const struct rules_base *base;
	const struct rules_document *document;
	uint64_t change_id;
	uint64_t now_ms;
};

struct rules_merge *rules_merge_new(const struct rules_merge_options *options);
void rules_merge_free(struct rules_merge *merge);
bool rules_merge_has_change(const struct rules_merge *merge);
const struct rules_document *
rules_merge_document(const struct rules_merge *merge);
const struct rules_base *rules_merge_base(const struct rules_merge *merge);
uint32_t rules_merge_count(const struct rules_merge *merge);
const struct rules_outcome *rules_merge_at(const struct rules_merge *merge,
					   uint32_t index);
uint32_t rules_merge_rejected_count(const struct rules_merge *merge);

#endif
