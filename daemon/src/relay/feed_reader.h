#ifndef FEED_READER_H
#define FEED_READER_H

#include <core/relay_sources.h>
#include <platform/kv_client.h>
#include <stdbool.h>

/*
 * Reads the store's whole content from one source and then watches it. It
 * ends itself when the source fails; a new reader goes on from a revision.
 */
struct feed_reader;

/*
 * revision 0 reads all first, another watches from there. A reading that may
 * be stale costs less, and the watch behind it brings what is newer at once.
 * on_whole gets a whole reading, on_changes what a watch told, on_answer runs
 * with each answer of a watch, on_ended once; after
 * PLATFORM_ERROR_COMPACTED the source has to be read whole.
 */
struct feed_reader_options {
	struct event_base *base;
	struct relay_source source;
	struct endpoint store;
	int64_t revision;
	bool may_be_stale;
	/* Of calls to the store itself. */
	struct kv_timing timing;
	void *context;
	void (*on_whole)(void *context, const struct kv_reply *reply);
	void (*on_changes)(void *context, const struct kv_reply *reply);
	void (*on_answer)(void *context);
	void (*on_ended)(void *context, const GError *error);
};

struct feed_reader *feed_reader_new(const struct feed_reader_options *options,
				    GError **error);
void feed_reader_set_pause(struct feed_reader *reader, uint32_t pause_ms);
void feed_reader_free(struct feed_reader *reader);
uint64_t feed_reader_call_count(const struct feed_reader *reader);

#endif
