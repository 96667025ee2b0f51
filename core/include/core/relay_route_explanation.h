#ifndef CORE_RELAY_ROUTE_EXPLANATION_H
#define CORE_RELAY_ROUTE_EXPLANATION_H

#include <core/relay_director.h>
#include <core/relay_flow.h>
#include <core/relay_service_explanation.h>

enum relay_route_status {
	RELAY_ROUTE_FOUND,
	RELAY_ROUTE_UNKNOWN,
	/* The node has no routes yet. */
	RELAY_ROUTE_NOT_READY,
};

/* What is asked: an address, and a caller of it if has_caller. */
struct relay_route_question {
	struct endpoint service;
	struct endpoint caller;
	bool has_caller;
};

/*
 * What this node's record says of the caller's flow. target_id is TARGET_NONE
 * if the node does not know the target any more; idle_ms is how long ago the
 * last packet passed.
 */
struct relay_route_record {
	enum relay_flow_state state;
	uint64_t target_id;
	uint32_t service_id;
	uint32_t try_count;
	int64_t idle_ms;
};

/*
 * Where a new flow would go now, and why. Without RELAY_ROUTE_FOUND, only the
 * question and the status are set. If the caller's opening packet is still
 * unanswered, its service shows the choice of the next try instead, which
 * leaves out the targets tried. record is valid if has_record.
 */
struct relay_route_explanation {
	struct relay_route_question question;
	enum relay_route_status status;
	uint64_t version;
	enum relay_route_kind kind;
	bool has_record;
	struct relay_route_record record;
	uint32_t service_count;
	struct relay_service_explanation *services;
};

struct relay_route_explanation *
relay_route_explain(struct relay_director *director,
		    const struct relay_route_question *question,
		    int64_t now_ms);
void relay_route_explanation_free(struct relay_route_explanation *explanation);

#endif
