#include "checker_open_flow.h"

#include "checker_new_flow.h"

/* Fewer packets than this at another host may be due to reordering. */
#define MISROUTED_PACKET_COUNT_MIN 3
/* A caller sends fewer bytes on a flow. */
#define FLOW_BYTES_MAX (1U << 20)

/*
 * A host that stops does not answer a request that reaches it this shortly
 * before.
 */
#define LAST_REQUEST_MS 100

/*
 * Returns whether a packet belongs to another flow from the same address; a
 * node that was paused may send such packets late.
 */
static bool is_of_another_flow(const struct checker_flow *flow,
			       const struct flow_event *event)
{
	return event->sequence - flow->sequence + FLOW_BYTES_MAX >
	       2 * FLOW_BYTES_MAX;
}

/* Checks a packet that reached a host without state for its flow. */
void checker_open_flow_check_unknown(struct soak_checker *checker,
				     const struct flow_event *event)
{
	struct checker_flow *flow =
		checker_state_flow(checker->state, &event->caller);
	const struct checker_host *host =
		checker_state_host(checker->state, event->host);
	const struct checker_host *flow_host =
		checker_state_host(checker->state, flow->host);

	if (host)
		checker_new_flow_check_service(
			checker, event,
			checker_state_route(checker->state, &event->service),
			host);
	if (!flow->is_open || flow->host == event->host || !flow_host ||
	    flow_host->is_stopped || is_of_another_flow(flow, event))
		return;
	if (stability_tracker_is_node_stable(
		    checker->stability,
		    checker_node_index(checker, &event->node), event->at_ms))
		flow->is_reset_by_other_host = true;
	flow->misrouted_packet_count++;
	if (flow->misrouted_packet_count == MISROUTED_PACKET_COUNT_MIN)
		checker_report_violation(
			checker, SOAK_RULE_FLOW_MOVED, event,
			"packets of an open flow reached another host");
}

/* Records the host of a flow that a host reports as open. */
void checker_open_flow_record(struct soak_checker *checker,
			      const struct flow_event *event)
{
	struct checker_flow *flow =
		checker_state_flow(checker->state, &event->caller);

	flow->host = event->host;
	flow->sequence = event->sequence;
	flow->is_open = true;
	flow->misrouted_packet_count = 0;
	flow->is_reset_by_other_host = false;
	flow->is_superseded = false;
}

/* Records that a host accepted the opening packet of another flow. */
void checker_open_flow_supersede(struct soak_checker *checker,
				 const struct flow_event *event)
{
	struct checker_flow *flow =
		checker_state_flow(checker->state, &event->caller);

	if (is_of_another_flow(flow, event))
		flow->is_superseded = true;
}

/* Checks that a request is executed once at most. */
void checker_open_flow_check_execution(struct soak_checker *checker,
				       const struct flow_event *event)
{
	if (checker_state_count_execution(checker->state, event->request_id) >
	    1)
		checker_report_violation(
			checker, SOAK_RULE_DUPLICATE_EXECUTION, event,
			"a request was executed more than once");
}

/* Checks that no node resets an open flow that its host could serve. */
void checker_open_flow_check_reset(struct soak_checker *checker,
				   const struct flow_event *event)
{
	const struct checker_flow *flow =
		checker_state_flow(checker->state, &event->caller);
	const struct checker_host *host =
		checker_state_host(checker->state, flow->host);
	const struct checker_route *route =
		checker_state_route(checker->state, &event->service);

	if (flow->is_open && !flow->is_superseded && host &&
	    !host->is_stopped && route && route->is_present)
		checker_report_violation(checker, SOAK_RULE_FLOW_RESET, event,
					 "an open flow was reset by a node");
}

/* Checks that no host but the flow's own one resets an open flow. */
void checker_open_flow_check_host_reset(struct soak_checker *checker,
					const struct flow_event *event)
{
	const struct checker_flow *flow =
		checker_state_flow(checker->state, &event->caller);
	const struct checker_host *host =
		checker_state_host(checker->state, flow->host);

	if (flow->is_open && flow->is_reset_by_other_host && host &&
	    !host->is_stopped)
		checker_report_violation(
			checker, SOAK_RULE_FLOW_RESET, event,
			"an open flow was reset by a host that lacks it");
}

/*
 * Returns whether the host of an open flow had stopped when the request of the
 * event was sent, so that the flow could not be served any more.
 */
bool checker_open_flow_has_lost_host(const struct soak_checker *checker,
				     const struct flow_event *event)
{
	const struct checker_flow *flow =
		checker_state_flow(checker->state, &event->caller);
	const struct checker_host *host =
		checker_state_host(checker->state, flow->host);

	if (event->kind != FLOW_EVENT_RESET &&
	    event->kind != FLOW_EVENT_HOST_RESET &&
	    event->kind != FLOW_EVENT_REQUEST_TIMED_OUT)
		return false;
	return flow->is_open && !flow->is_superseded && host &&
	       host->is_stopped &&
	       event->started_ms + LAST_REQUEST_MS >= host->changed_ms;
}

/* A failure is a violation only if no unplanned disturbance can explain it. */
void checker_open_flow_check_failure(struct soak_checker *checker,
				     const struct flow_event *event)
{
	const struct checker_route *route =
		checker_state_route(checker->state, &event->service);

	if (!route || !route->is_present ||
	    checker_open_flow_has_lost_host(checker, event) ||
	    event->started_ms - route->changed_ms < UPDATE_DELAY_MAX_MS ||
	    !stability_tracker_is_undisturbed(checker->stability,
					      event->started_ms))
		return;
	checker_report_violation(checker, SOAK_RULE_UNDISTURBED_FAILURE, event,
				 flow_event_name(event->kind));
}
