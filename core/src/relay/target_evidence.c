#include "target_evidence.h"

/*
 * How long a packet must have been unanswered, and no sign of life seen by any
 * node of the zone: longer than the last request of a full queue waits.
 */
#define SILENT_MS 1200

/*
 * How long ago the nodes of the zone must have been told before a decision, so
 * that they can object: at least the one, and at most the other.
 */
#define OBJECTION_MS 100
#define OBJECTION_MAX_MS 300

/* Adds a flow that has sent data to the target again. */
void target_evidence_add_flow(struct target_evidence *evidence, uint32_t flow,
			      int64_t now_ms)
{
	evidence->last_stall_ms = now_ms;
	if (evidence->flow_count == 0)
		evidence->first_stall_ms = now_ms;
	for (uint32_t i = 0; i < evidence->flow_count; i++) {
		if (evidence->flows[i] == flow)
			return;
	}
	if (evidence->flow_count < TARGET_EVIDENCE_FLOW_COUNT)
		evidence->flows[evidence->flow_count++] = flow;
}

static int64_t first_sent_ms(const struct target_evidence *evidence)
{
	return evidence->first_stall_ms - TARGET_EVIDENCE_STALL_SPAN_MS;
}

/*
 * Takes a sign of life into account. Returns whether it is later than the first
 * unanswered packet and so voids the evidence.
 */
bool target_evidence_hear(struct target_evidence *evidence, int64_t life_ms)
{
	if (life_ms <= evidence->heard_ms)
		return false;
	evidence->heard_ms = life_ms;
	if (evidence->flow_count > 0 && life_ms <= first_sent_ms(evidence))
		return false;
	evidence->flow_count = 0;
	return true;
}

/* Returns whether the nodes of the zone were told of the target lately. */
bool target_evidence_is_told(const struct target_evidence *evidence,
			     int64_t now_ms)
{
	return now_ms - evidence->told_ms <= OBJECTION_MAX_MS;
}

/* Records that the nodes of the zone have been told of the target. */
void target_evidence_note_told(struct target_evidence *evidence, int64_t now_ms)
{
	if (!target_evidence_is_told(evidence, now_ms))
		evidence->told_ms = now_ms;
}

/* Returns whether a decision is due, for which the nodes have to be told. */
bool target_evidence_is_due(const struct target_evidence *evidence,
			    int64_t now_ms)
{
	return evidence->flow_count == TARGET_EVIDENCE_FLOW_COUNT &&
	       now_ms - first_sent_ms(evidence) >= SILENT_MS - OBJECTION_MS;
}

/* Returns whether the evidence suffices and nobody has objected in time. */
bool target_evidence_suffices(const struct target_evidence *evidence,
			      int64_t now_ms)
{
	return target_evidence_is_due(evidence, now_ms) &&
	       now_ms - first_sent_ms(evidence) >= SILENT_MS &&
	       target_evidence_is_told(evidence, now_ms) &&
	       now_ms - evidence->told_ms >= OBJECTION_MS;
}
