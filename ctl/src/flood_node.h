#ifndef CTL_FLOOD_NODE_H
#define CTL_FLOOD_NODE_H

#include "flood_proxy.h"
#include <core/claim_director.h>
#include <core/request_director.h>

/* The kinds of events that are delivered to a node. */
enum flood_event_kind {
	FLOOD_EVENT_REQUEST,
	FLOOD_EVENT_CALLER_DISCONNECTED,
	FLOOD_EVENT_RESPONSE_HEADERS,
	FLOOD_EVENT_ATTEMPT_ENDED,
	FLOOD_EVENT_CLAIM_RESULT,
	FLOOD_EVENT_CLAIM_MESSAGE,
	FLOOD_EVENT_ROSTER,
	FLOOD_EVENT_TARGET_STATE,
	FLOOD_EVENT_NODE_COUNT,
};

/* An event; id is that of a request, an attempt or a target, by kind. */
struct flood_event {
	enum flood_event_kind kind;
	uint64_t to_node_id;
	uint64_t from_node_id;
	uint64_t id;
	struct request_info request;
	enum attempt_outcome outcome;
	enum claim_result result;
	enum target_state state;
	uint32_t node_count;
	struct claim_message *message;
	struct roster *roster;
};

/* A virtual node: its directors, or instead of them a baseline proxy. */
struct flood_node {
	struct flood_fleet *fleet;
	uint32_t index;
	uint64_t node_id;
	uint32_t zone_id;
	struct request_director *requests;
	struct claim_director *claims;
	struct flood_proxy *proxy;
	GHashTable *live_attempts;
	int64_t next_tick_ms;
	bool is_dead;
	bool is_paused;
};

struct flood_event *flood_event_new(enum flood_event_kind kind,
				    uint64_t to_node_id);
void flood_event_free(void *data);
void *flood_event_copy(const void *data);
void flood_node_handle(struct flood_node *node, const struct flood_event *event,
		       int64_t now_ms);
void flood_node_tick(struct flood_node *node, int64_t now_ms);
void flood_node_clear(struct flood_node *node);

#endif
