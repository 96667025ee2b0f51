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
 * source is what reader reads from, since source_ms. is_whole_needed: the next
 * reader has to read all; has_answered: this one has had an answer; has_read:
 * one of this process has read all.
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
	uint64_t ended_call_count;
	int64_t source_ms;
	/* When the copy was last shown to be current, 0 for never. */
	int64_t current_ms;
	bool is_live;
	bool is_whole_needed;
	bool has_answered;
	bool has_read;
};

void feed_follow_next(struct feed_task *feed);
void feed_follow_end(struct feed_task *feed);
void feed_follow_tick(struct feed_task *feed);
bool feed_follow_is_direct(const struct feed_task *feed);
void feed_follow_call_ended(void *context, uint32_t duration_ms);
uint64_t feed_follow_call_count(const struct feed_task *feed);

#endif
