#ifndef FEED_TASK_STATE_H
#define FEED_TASK_STATE_H

#include <daemon/feed_task.h>

#include "feed_calls.h"
#include "feed_counters.h"
#include "feed_reader.h"
#include "feed_times.h"
#include "node_entry.h"

#include <core/relay_sources.h>
#include <task/log.h>
#include <task/timer.h>

/*
 * State shared by feed_task.c and feed_follow.c.
 * - mirror is the copy of the store.
 * - source is what reader has been reading from since source_since_ms.
 * - calls counts the calls to the store, not those to peers.
 * - is_live: a watch on the source keeps the mirror current.
 * - is_snapshot_needed: the next reader must start with a snapshot.
 * - has_replied: the current source has replied to a watch call.
 * - has_read_snapshot: this process has read at least one snapshot.
 * - close_timer: when it fires, other nodes can no longer watch the mirror.
 */
struct feed_task {
	struct feed_task_options options;
	struct task *task;
	struct log *log;
	struct counter_set *counters;
	struct histogram_set *times;
	struct kv_client *client;
	struct kv_mirror *mirror;
	struct node_entry *entry;
	struct node_registrar *registrar;
	struct relay_sources *sources;
	struct relay_source source;
	struct feed_reader *reader;
	struct timer *tick_timer;
	struct timer *retry_timer;
	struct timer *close_timer;
	GRand *random;
	struct feed_calls calls;
	int64_t source_since_ms;
	/* When a reply last confirmed that the mirror is current, or 0. */
	int64_t confirmed_ms;
	/* Time between the last two confirmations, 0 before the second one. */
	uint32_t update_gap_ms;
	bool is_live;
	bool is_snapshot_needed;
	bool has_replied;
	bool has_read_snapshot;
};

void feed_follow_switch_source(struct feed_task *feed);
void feed_follow_stop(struct feed_task *feed);
void feed_follow_tick(struct feed_task *feed);
bool feed_follow_is_direct(const struct feed_task *feed);
void feed_follow_close_mirror(struct feed_task *feed);
void feed_follow_record_call(void *context, uint32_t duration_ms);

#endif
