#ifndef FEED_READER_H
#define FEED_READER_H

#include "feed_timeouts.h"

#include <core/relay_sources.h>
#include <platform/kv_client.h>
#include <stdbool.h>

/*
 * Reads a snapshot of the store from one source and then watches the source for
 * changes. It stops when the source fails; a new reader can continue from the
 * last revision.
 */
struct feed_reader;

/*
 * If revision is 0, the reader reads a snapshot first, else it watches for
 * changes after revision, which belongs to era. store is the address of the
 * store, and timeouts are those of feed_timeouts_for. may_be_stale allows a
 * stale snapshot, which costs the store less; the watch that follows returns
 * newer changes at once. on_snapshot gets a snapshot and returns whether the
 * reader shall watch from it, on_changes gets the changes that a watch call
 * returns. on_reply is called for each reply to a watch call, also an empty
 * one. on_ended is called once, when the source has failed; after
 * PLATFORM_ERROR_COMPACTED the next reader must start with a snapshot.
 */
struct feed_reader_options {
	struct event_base *base;
	struct relay_source source;
	struct endpoint store;
	struct feed_timeouts timeouts;
	int64_t era;
	int64_t revision;
	bool may_be_stale;
	/* For calls to the store, not for those to peers. */
	struct kv_duration_callback timing;
	struct kv_call_counts *store_calls;
	void *context;
	bool (*on_snapshot)(void *context, const struct kv_reply *reply);
	void (*on_changes)(void *context, const struct kv_reply *reply);
	void (*on_reply)(void *context);
	void (*on_ended)(void *context, const GError *error);
};

struct feed_reader *feed_reader_new(const struct feed_reader_options *options,
				    GError **error);
void feed_reader_set_pause(struct feed_reader *reader, uint32_t pause_ms);
void feed_reader_free(struct feed_reader *reader);

#endif
