#include "flood_node.h"

/* Creates an event for a node; free it with flood_event_free. */
struct flood_event *flood_event_new(enum flood_event_kind kind,
				    uint64_t to_node_id)
{
	struct flood_event *event = g_new0(struct flood_event, 1);

	event->kind = kind;
	event->to_node_id = to_node_id;
	return event;
}

/* Frees an event with its message and roster. */
void flood_event_free(void *data)
{
	struct flood_event *event = data;

	g_free(event->message);
	g_free(event->roster);
	g_free(event);
}

/* Returns a deep copy of an event, for links that duplicate messages. */
void *flood_event_copy(const void *data)
{
	const struct flood_event *event = data;
	struct flood_event *copy = g_memdup2(event, sizeof(*event));

	copy->message = g_memdup2(event->message, sizeof(*event->message));
	copy->roster = g_memdup2(event->roster, sizeof(*event->roster));
	return copy;
}

static void handle_claims(struct flood_node *node,
			  const struct flood_event *event, int64_t now_ms)
{
	if (event->kind == FLOOD_EVENT_CLAIM_MESSAGE)
		claim_director_handle_message(node->claims, event->from_node_id,
					      event->message, now_ms);
	else if (event->kind == FLOOD_EVENT_ROSTER)
		claim_director_set_roster(node->claims, event->roster, now_ms);
}

static void handle_requests(struct flood_node *node,
			    const struct flood_event *event, int64_t now_ms)
{
	struct request_director *requests = node->requests;

	switch (event->kind) {
	case FLOOD_EVENT_REQUEST:
		request_director_submit(requests, &event->request, now_ms);
		break;
	case FLOOD_EVENT_CALLER_DISCONNECTED:
		request_director_handle_disconnect(requests, event->id, now_ms);
		break;
	case FLOOD_EVENT_RESPONSE_HEADERS:
		request_director_record_headers(requests, event->id, now_ms);
		break;
	case FLOOD_EVENT_ATTEMPT_ENDED:
		request_director_record_end(requests, event->id, event->outcome,
					    now_ms);
		break;
	case FLOOD_EVENT_CLAIM_RESULT:
		request_director_handle_claim_result(requests, event->id,
						     event->result, now_ms);
		break;
	case FLOOD_EVENT_TARGET_STATE:
		request_director_set_target_state(requests, event->id,
						  event->state, now_ms);
		break;
	case FLOOD_EVENT_NODE_COUNT:
		request_director_set_node_count(requests, event->node_count);
		break;
	default:
		break;
	}
}

/* Passes an event to the node's directors, or to its baseline proxy. */
void flood_node_handle(struct flood_node *node, const struct flood_event *event,
		       int64_t now_ms)
{
	if (node->proxy) {
		if (event->kind == FLOOD_EVENT_REQUEST)
			flood_proxy_handle_request(node->proxy, &event->request,
						   now_ms);
		else if (event->kind == FLOOD_EVENT_ATTEMPT_ENDED)
			flood_proxy_handle_attempt_end(node->proxy, event->id,
						       event->outcome, now_ms);
		return;
	}
	handle_claims(node, event, now_ms);
	handle_requests(node, event, now_ms);
	node->next_tick_ms = request_director_tick(node->requests, now_ms);
}

/* Runs the timers of a node that are due at now_ms. */
void flood_node_tick(struct flood_node *node, int64_t now_ms)
{
	if (node->proxy) {
		flood_proxy_tick(node->proxy, now_ms);
		return;
	}
	if (node->next_tick_ms <= now_ms)
		node->next_tick_ms =
			request_director_tick(node->requests, now_ms);
	claim_director_tick(node->claims, now_ms);
}

/* Frees the node's directors or its proxy. */
void flood_node_clear(struct flood_node *node)
{
	request_director_free(node->requests);
	claim_director_free(node->claims);
	flood_proxy_free(node->proxy);
	node->requests = NULL;
	node->claims = NULL;
	node->proxy = NULL;
}
