#ifndef TARGET_EVIDENCE_H
#define TARGET_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/* This many flows must have sent data to the target again. */
#define TARGET_EVIDENCE_FLOW_COUNT 3

/* Data that was sent again twice was first sent this long ago. */
#define TARGET_EVIDENCE_STALL_SPAN_MS 600

/*
 * What speaks against a target. heard_ms is its last sign of life, by other
 * nodes' reports too. flows are the flows that sent data again since then, the
 * first at first_stall_ms, the last at last_stall_ms. told_ms is when the nodes
 * of the zone were told, by this node or another one.
 */
struct target_evidence {
	int64_t heard_ms;
	int64_t first_stall_ms;
	int64_t last_stall_ms;
	int64_t told_ms;
	uint32_t flow_count;
	uint32_t flows[TARGET_EVIDENCE_FLOW_COUNT];
};

void target_evidence_add_flow(struct target_evidence *evidence, uint32_t flow,
			      int64_t now_ms);
bool target_evidence_hear(struct target_evidence *evidence, int64_t life_ms);
void target_evidence_note_told(struct target_evidence *evidence,
			       int64_t now_ms);
bool target_evidence_is_told(const struct target_evidence *evidence,
			     int64_t now_ms);
bool target_evidence_is_due(const struct target_evidence *evidence,
			    int64_t now_ms);
bool target_evidence_suffices(const struct target_evidence *evidence,
			      int64_t now_ms);

#endif
