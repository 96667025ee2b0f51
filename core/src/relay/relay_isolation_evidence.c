#include "relay_director_state.h"

struct gathering {
	const struct relay_director *director;
	struct relay_isolation_evidence evidence;
};

static void add_zone(void *context, const struct relay_zone_signs *signs)
{
	struct gathering *gathering = context;
	struct relay_isolation_evidence *evidence = &gathering->evidence;

	evidence->is_silent = evidence->is_silent && signs->is_silent;
	evidence->heard_ms = MAX(evidence->heard_ms, signs->heard_ms);
	if (signs->is_listed &&
	    !relay_evacuations_contains(gathering->director->evacuations,
					signs->zone_id))
		evidence->usable_zone_count++;
}

/* Brings the decision whether this node can serve new flows up to date. */
void relay_isolation_evidence_update(struct relay_director *director,
				     int64_t now_ms)
{
	struct gathering gathering = {
		.director = director,
		.evidence = {.is_silent = true,
			     .is_leaving = director->rotation.is_leaving},
	};

	gathering.evidence.is_evacuated = relay_evacuations_contains(
		director->evacuations, director->options.zone_id);
	relay_silence_for_each_other(director->silence, now_ms, &gathering,
				     add_zone);
	relay_isolation_update(director->isolation, &gathering.evidence,
			       now_ms);
}
