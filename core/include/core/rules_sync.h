#ifndef CORE_RULES_SYNC_H
#define CORE_RULES_SYNC_H

#include <core/rules_merge.h>

/*
 * Synchronizes one operator's file with the store: reads the document, merges
 * the file into it and writes the result by compare-and-swap. If the reply to a
 * write is lost, reads again to see whether the write took effect.
 */
struct rules_sync;

/*
 * read and write each start one call to the store. The result of a read is
 * passed to rules_sync_handle_document or rules_sync_handle_read_failure, that
 * of a write to rules_sync_handle_write_result or
 * rules_sync_handle_unconfirmed_write. schedule_retry requests a call of
 * rules_sync_retry after a delay. report_outcomes receives the verdicts once
 * the merge has taken effect, and the new base, which can be saved for the next
 * run; both are valid only during the call.
 */
struct rules_sync_options {
	uint64_t seed;
	void *context;
	void (*read)(void *context);
	void (*write)(void *context, const struct rules_document *document,
		      int64_t expected_mod_revision);
	void (*schedule_retry)(void *context);
	void (*report_outcomes)(void *context, const struct rules_merge *merge,
				const struct rules_base *base);
};

struct rules_sync *rules_sync_new(const struct rules_sync_options *options,
				  struct rules_base *base);
void rules_sync_free(struct rules_sync *sync);
void rules_sync_set_text(struct rules_sync *sync, struct rules_text *text);
void rules_sync_handle_document(struct rules_sync *sync,
				const struct rules_document *document,
				int64_t mod_revision, uint64_t now_ms);
void rules_sync_handle_read_failure(struct rules_sync *sync);
void rules_sync_handle_write_result(struct rules_sync *sync, bool is_written);
void rules_sync_handle_unconfirmed_write(struct rules_sync *sync);
void rules_sync_retry(struct rules_sync *sync);
bool rules_sync_is_idle(const struct rules_sync *sync);

#endif
