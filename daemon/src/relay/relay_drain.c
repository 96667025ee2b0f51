#include "relay_drain.h"

/*
 * Routers check a node's readiness twice a second and stop sending packets to
 * it after two negative results. The drain lasts at least that long, and then
 * ends when no packet has arrived for DRAIN_IDLE_MS.
 */
#define DRAIN_MIN_MS 1500
#define DRAIN_IDLE_MS 600

/* Starts a drain; message is a drain_message. */
void relay_drain_begin(struct relay_drain *drain, const struct message *message,
		       int64_t now_ms)
{
	drain->reply_to = ((const struct drain_message *)message)->reply_to;
	drain->start_ms = now_ms;
}

/*
 * Posts a drained_message when the drain has ended. last_packet_ms is when the
 * last packet arrived.
 */
void relay_drain_tick(struct relay_drain *drain, struct task *task,
		      int64_t last_packet_ms, int64_t now_ms)
{
	struct message *drained;

	if (!drain->reply_to || now_ms - drain->start_ms < DRAIN_MIN_MS ||
	    now_ms - last_packet_ms < DRAIN_IDLE_MS)
		return;
	drained = drained_message_new(task);
	task_post_or_free(drain->reply_to, drained);
	drain->reply_to = NULL;
}
