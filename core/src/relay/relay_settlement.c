#include "relay_settlement.h"

#include "relay_cold_targets.h"
#include "relay_opening_life.h"

/*
 * Sends a target the flow's opening packet again with the tag of the target
 * where the flow opened. From then on the answers of both bear the same tag, so
 * that the caller echoes it whichever answer comes last.
 */
static void tell_target(struct relay_director *director,
			const struct relay_flow *flow,
			struct relay_target *entry, uint32_t tag,
			int64_t now_ms)
{
	const struct relay_callbacks *callbacks = &director->options.callbacks;
	struct relay_verdict verdict = {.is_new_decision = true};

	if (!relay_cold_targets_may_send(director, entry, now_ms))
		return;
	relay_verdict_set_target(&verdict, entry, REASON_SETTLED);
	verdict.tag = tag;
	verdict.try_count = flow->try_count;
	verdict.is_cold = relay_cold_targets_use(director, entry, now_ms);
	callbacks->settle_opening(callbacks->context, &verdict, flow->opening,
				  flow->opening_bytes);
}

static void tell_unless_final(struct relay_director *director,
			      const struct relay_flow *flow, uint32_t tried_tag,
			      uint32_t tag, int64_t now_ms)
{
	struct relay_target *entry =
		relay_directory_find(director->directory, tried_tag);

	if (entry && tried_tag != tag)
		tell_target(director, flow, entry, tag, now_ms);
}

static bool is_among_tried(const struct relay_flow *flow, uint32_t tag)
{
	for (uint32_t i = 0; i < flow->try_count; i++) {
		if (flow->tried_tags[i] == tag)
			return true;
	}
	return false;
}

/*
 * Tells the targets that the flow's opening packet was sent to where the flow
 * opened; tag is that of the target there. Nothing is sent once the caller has
 * given up on the opening: its port may belong to another flow by then. Call it
 * before the flow is open, which frees the opening packet.
 */
void relay_settlement_tell_targets(struct relay_director *director,
				   const struct relay_flow *flow, uint32_t tag,
				   int64_t now_ms)
{
	if (!director->options.callbacks.settle_opening ||
	    flow->opening_bytes == 0 || !relay_opening_is_pending(flow, now_ms))
		return;
	for (uint32_t i = 0; i < flow->try_count; i++)
		tell_unless_final(director, flow, flow->tried_tags[i], tag,
				  now_ms);
	/* Only the first RELAY_TRY_COUNT_MAX targets are listed as tried. */
	if (!is_among_tried(flow, flow->tag))
		tell_unless_final(director, flow, flow->tag, tag, now_ms);
}
