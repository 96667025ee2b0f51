#ifndef CORE_RELAY_ROUTE_CANDIDATE_H
#define CORE_RELAY_ROUTE_CANDIDATE_H

#include <core/target.h>
#include <stdbool.h>

/* What became of a target in a choice, by the first cause that applies. */
enum relay_candidate_outcome {
	CANDIDATE_CHOSEN,
	/* It takes no new flows: it leaves, fails or has no entry any more. */
	CANDIDATE_NOT_SERVING,
	/* Its zone is being evacuated. */
	CANDIDATE_EVACUATED,
	/* It is cold, and this node may not send it an opening packet now. */
	CANDIDATE_WARMUP_LIMIT,
	/* The caller's opening packet was sent to it already. */
	CANDIDATE_TRIED,
	/* It left opening packets unanswered, or was taken for silent. */
	CANDIDATE_AVOIDED,
	/* Targets of its zone left opening packets unanswered. */
	CANDIDATE_ZONE_AVOIDED,
	/* By turns: a target of another zone was taken. */
	CANDIDATE_OTHER_ZONE,
	/* By turns: another target of its zone was taken. */
	CANDIDATE_NOT_ITS_TURN,
	/* The chosen target has less load, the cost of its zone included. */
	CANDIDATE_MORE_LOADED,
	/* Both have the same load, and the other one was drawn. */
	CANDIDATE_NOT_DRAWN,
	CANDIDATE_OUTCOME_COUNT,
};

/*
 * A target of a service as a choice sees it. load_milli is the share of its
 * slots that would be in use with one more flow, in thousandths, and without
 * the flow whose record the new one replaces; pace_milli is how long it takes
 * for a request on flows with several, in thousandths of the mean of its zone;
 * compared_milli is the load with both and the cost of another zone, by which
 * the least loaded target is found. is_limited: its warm-up allows no opening
 * packet from this node now. The other flags are those of enum
 * relay_candidate_outcome; several may apply.
 */
struct relay_route_candidate {
	uint64_t target_id;
	uint32_t zone_id;
	enum target_state state;
	uint32_t slot_count;
	uint32_t own_open_count;
	uint32_t peer_open_count;
	uint32_t load_milli;
	uint32_t pace_milli;
	uint32_t compared_milli;
	enum relay_candidate_outcome outcome;
	bool is_own_zone;
	bool is_removed;
	bool is_accepting;
	bool is_avoided;
	bool is_zone_avoided;
	bool is_evacuated;
	bool is_limited;
	bool is_tried;
};

const char *relay_candidate_outcome_name(enum relay_candidate_outcome outcome);

#endif
