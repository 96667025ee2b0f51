#ifndef CORE_RELAY_SERVICE_EXPLANATION_H
#define CORE_RELAY_SERVICE_EXPLANATION_H

#include <core/reason.h>
#include <core/relay_route_candidate.h>
#include <glib.h>

/* At most this many candidates of a service are listed. */
#define RELAY_CANDIDATE_COUNT_MAX 600

/* Which targets the choice had to fall back to. */
enum relay_choice_level {
	/* Those that are neither avoided nor tried. */
	CHOICE_AMONG_HEALTHY,
	/* There was no such one: those that are avoided, too. */
	CHOICE_AMONG_AVOIDED,
	/* All others were tried: those that were tried, too. */
	CHOICE_AMONG_TRIED,
	/* No target can be chosen. */
	CHOICE_OF_NONE,
	CHOICE_LEVEL_COUNT,
};

/*
 * The choice that one service of a route would make now. target_id is
 * TARGET_NONE if the flow would be refused; reason is that of the choice or of
 * the refusal. is_next: the next new flow gets this service. is_short: the
 * service has too little room, so that a part of the new flows is refused by
 * class before a target is chosen. candidates are
 * struct relay_route_candidate, the chosen one first; candidate_count is how
 * many there are, also beyond RELAY_CANDIDATE_COUNT_MAX.
 */
struct relay_service_explanation {
	uint32_t service_id;
	uint32_t weight;
	bool is_next;
	bool is_short;
	uint64_t target_id;
	enum reason reason;
	enum relay_choice_level level;
	uint32_t candidate_count;
	GArray *candidates;
};

const char *relay_choice_level_name(enum relay_choice_level level);

#endif
