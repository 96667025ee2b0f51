#ifndef RELAY_DRAIN_H
#define RELAY_DRAIN_H

#include <daemon/drain_message.h>

/* A relay task's stop: who waits for it, and since when. */
struct relay_drain {
	struct task *reply_to;
	int64_t began_ms;
};

void relay_drain_begin(struct relay_drain *drain, const struct message *message,
		       int64_t now_ms);
void relay_drain_tick(struct relay_drain *drain, struct task *task,
		      int64_t packet_ms, int64_t now_ms);

#endif
