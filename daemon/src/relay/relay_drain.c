#include "relay_drain.h"

/*
 * The routers check a node's readiness twice a second and stop sending to it
 * after two negative results. The drain lasts at least until then, and ends
 * when no packet has arrived for DRAIN_IDLE_MS.
 */
#define DRAIN_MIN_MS 1500
#define DRAIN_IDLE_MS 600

/* Starts the drain that the message asks for. */
void relay_drain_begin(struct relay_drain *drain, const struct message *message,
		       int64_t now_ms)
{
	drain->reply_to = ((const struct drain_message *)message)->reply_to;
	drain->start_ms = now_ms;
}

/*
 * Reports the task as drained when the drain is over; packet_ms is when the
 * last packet arrived.
 */
void relay_drain_tick(struct relay_drain *drain, struct task *task,
		      int64_t packet_ms, int64_t now_ms)
{
	struct message *drained;

	if (!drain->reply_to || now_ms - drain->start_ms < DRAIN_MIN_MS ||
	    now_ms - packet_ms < DRAIN_IDLE_MS)
		return;
	drained = drained_message_new(task);
	task_post_or_free(drain->reply_to, drained);
	drain->reply_to = NULL;
}
