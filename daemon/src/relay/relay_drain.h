#ifndef RELAY_DRAIN_H
#define RELAY_DRAIN_H

#include <daemon/drain_message.h>

/*
 * The drain of a relay task. reply_to is the task to notify when the drain has
 * ended, or NULL while no drain is in progress.
 */
struct relay_drain {
	struct task *reply_to;
	int64_t start_ms;
};

void relay_drain_begin(struct relay_drain *drain, const struct message *message,
		       int64_t now_ms);
void relay_drain_tick(struct relay_drain *drain, struct task *task,
		      int64_t last_packet_ms, int64_t now_ms);

#endif
