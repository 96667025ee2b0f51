#ifndef FEED_TASK_STATE_H
#define FEED_TASK_STATE_H

#include <daemon/feed_task.h>

#include "feed_counters.h"
#include "feed_reader.h"
#include "feed_times.h"
#include "node_entry.h"

#include <core/relay_sources.h>
#include <task/log.h>
#include <task/timer.h>

/*
 * source is where reader reads from since source_ms. past_call_count counts the
 * store calls of earlier readers. is_live: the current source keeps the copy
 * current. is_snapshot_needed: the next reader must start with a snapshot.
 * has_answered: the current source has answered. has_read_snapshot: this
 * process has read at least one snapshot.
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
	struct relay_sources *sources;
	struct relay_source source;
	struct feed_reader *reader;
	struct timer *tick_timer;
	struct timer *retry_timer;
	GRand *random;
	uint64_t past_call_count;
	int64_t source_ms;
	/* When a response last confirmed that the copy is current, or 0. */
	int64_t confirmed_ms;
	bool is_live;
	bool is_snapshot_needed;
	bool has_answered;
	bool has_read_snapshot;
};

void feed_follow_switch_source(struct feed_task *feed);
void feed_follow_stop(struct feed_task *feed);
void feed_follow_tick(struct feed_task *feed);
bool feed_follow_is_direct(const struct feed_task *feed);
void feed_follow_record_call(void *context, uint32_t duration_ms);
uint64_t feed_follow_call_count(const struct feed_task *feed);

#endif
