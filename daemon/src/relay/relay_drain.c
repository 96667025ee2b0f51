#include "relay_drain.h"

/*
 * The routers ask twice a second and leave a node after two refusals. The node
 * goes on until no packet has come for a while after that.
 */
#define LEAST_MS 1500
#define QUIET_MS 600

/* Takes the message that asks for the stop. */
void relay_drain_begin(struct relay_drain *drain, const struct message *message,
		       int64_t now_ms)
{
	drain->reply_to = ((const struct drain_message *)message)->reply_to;
	drain->began_ms = now_ms;
}

/* Answers for the task once the last packet, at packet_ms, is long enough ago.
 */
void relay_drain_tick(struct relay_drain *drain, struct task *task,
		      int64_t packet_ms, int64_t now_ms)
{
	struct message *drained;

	if (!drain->reply_to || now_ms - drain->began_ms < LEAST_MS ||
	    now_ms - packet_ms < QUIET_MS)
		return;
	drained = drained_message_new(task);
	task_post_or_free(drain->reply_to, drained);
	drain->reply_to = NULL;
}
