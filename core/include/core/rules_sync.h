#ifndef CORE_RULES_SYNC_H
#define CORE_RULES_SYNC_H

#include <core/rules_merge.h>

/*
 * Brings one operator's file into the store: read, merge, write by
 * compare-and-swap, and read back when an answer was lost.
 */
struct rules_sync;

/*
 * read and write start one call each, whose result comes back through the
 * functions below; wait asks for a call of rules_sync_retry after a while.
 * outcome gets the verdicts once the merge has taken effect, base is what the
 * caller may keep across runs, and is valid during the call.
 */
struct rules_sync_options {
	uint64_t seed;
	void *context;
	void (*read)(void *context);
	void (*write)(void *context, const struct rules_document *document,
		      int64_t expected_mod_revision);
	void (*wait)(void *context);
	void (*outcome)(void *context, const struct rules_merge *merge,
			const struct rules_base *base);
};

struct rules_sync *rules_sync_new(const struct rules_sync_options *options,
				  struct rules_base *base);
void rules_sync_free(struct rules_sync *sync);
void rules_sync_set_text(struct rules_sync *sync, struct rules_text *text);
void rules_sync_take_document(struct rules_sync *sync,
			      const struct rules_document *document,
			      int64_t mod_revision, uint64_t now_ms);
void rules_sync_take_read_failure(struct rules_sync *sync);
void rules_sync_take_written(struct rules_sync *sync, bool is_written);
void rules_sync_take_unknown(struct rules_sync *sync);
void rules_sync_retry(struct rules_sync *sync);
bool rules_sync_is_idle(const struct rules_sync *sync);

#endif
