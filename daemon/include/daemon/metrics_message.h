#ifndef DAEMON_METRICS_MESSAGE_H
#define DAEMON_METRICS_MESSAGE_H

#include <glib.h>
#include <task/counter_set.h>
#include <task/histogram_set.h>
#include <task/task.h>

/* Asks a task for its metrics; the task posts a metrics_reply to reply_to. */
struct metrics_request {
	struct message message;
	struct task *reply_to;
	uint64_t request_id;
};

/* The metrics of one task, in the Prometheus text format. */
struct metrics_reply {
	struct message message;
	uint64_t request_id;
	GString *text;
};

extern const struct message_type metrics_request_type;
extern const struct message_type metrics_reply_type;

struct message *metrics_request_new(struct task *reply_to, uint64_t request_id);
void metrics_request_reply(struct message *request,
			   const struct counter_set *counters);
void metrics_request_reply_with_histograms(
	struct message *request, const struct counter_set *counters,
	const struct histogram_set *histograms);

#endif
