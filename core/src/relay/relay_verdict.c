#include "relay_director_state.h"

/* Sets the verdict to forward the packet to a target. */
void relay_verdict_set_target(struct relay_verdict *verdict,
			      const struct relay_target *entry,
			      enum reason reason)
{
	verdict->action = RELAY_FORWARD;
	verdict->reason = reason;
	verdict->target_id = entry->target.target_id;
	verdict->endpoint = entry->target.endpoint;
	verdict->tag = entry->tag;
}

/* Returns the verdict that rejects a packet. */
struct relay_verdict relay_verdict_reject(enum relay_action action,
					  enum reason reason)
{
	return (struct relay_verdict){
		.action = action, .reason = reason, .is_new_decision = true};
}
