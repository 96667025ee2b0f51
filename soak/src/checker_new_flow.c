#include "checker_new_flow.h"

/* Maximum delay of packets that a node sent before it read a new version. */
#define REORDER_MS 1000

/*
 * Checks that a packet reached a host of the route's service, or of a previous
 * one if the route changed lately. route is NULL if there never was one.
 */
void checker_new_flow_check_service(struct soak_checker *checker,
				    const struct flow_event *event,
				    const struct checker_route *route,
				    const struct checker_host *host)
{
	if (route && route->service == host->service)
		return;
	if (!route || !checker_route_had_service(route, host->service))
		checker_report_violation(
			checker, SOAK_RULE_SERVICE, event,
			"a packet reached a host of another service");
	else if (checker_must_be_in_force(checker, event, route->changed_ms))
		checker_report_violation(
			checker, SOAK_RULE_CONFIG, event,
			"a new flow reached a previous service of the route");
}

static void check_drain(struct soak_checker *checker,
			const struct flow_event *event,
			const struct checker_host *host)
{
	if (host->is_draining &&
	    checker_must_be_in_force(checker, event, host->changed_ms))
		checker_report_violation(checker, SOAK_RULE_DRAIN, event,
					 "a new flow reached a draining host");
}

static void check_evacuation(struct soak_checker *checker,
			     const struct flow_event *event,
			     const struct checker_host *host)
{
	const struct checker_zone *zone =
		checker_state_zone(checker->state, host->zone);

	if (zone && zone->is_evacuated &&
	    checker_must_be_in_force(checker, event, zone->changed_ms))
		checker_report_violation(
			checker, SOAK_RULE_EVACUATION, event,
			"a new flow reached a host of an evacuated zone");
}

static void record_version(struct soak_checker *checker, uint32_t node,
			   const struct checker_route *route, int64_t at_ms)
{
	struct observed_version *observed;

	if (node >= checker->options.node_count || !route->is_present)
		return;
	observed = &checker->observed_versions[node];
	if (route->version <= observed->version)
		return;
	*observed = (struct observed_version){route->version, at_ms};
}

static void check_removed_route(struct soak_checker *checker,
				const struct flow_event *event,
				const struct checker_route *route)
{
	uint32_t node = checker_node_index(checker, &event->node);
	const struct observed_version *observed;

	if (route->is_present || node >= checker->options.node_count)
		return;
	if (checker_must_be_in_force(checker, event, route->changed_ms))
		checker_report_violation(checker, SOAK_RULE_CONFIG, event,
					 "a new flow used a removed route");
	observed = &checker->observed_versions[node];
	if (route->version <= observed->version &&
	    event->at_ms - observed->observed_ms > REORDER_MS)
		checker_report_violation(
			checker, SOAK_RULE_VERSION_REVERTED, event,
			"a node used an older version than it had used before");
}

/* Checks the host, the route and the version that a new flow used. */
void checker_new_flow_check(struct soak_checker *checker,
			    const struct flow_event *event)
{
	const struct checker_host *host =
		checker_state_host(checker->state, event->host);
	const struct checker_route *route =
		checker_state_route(checker->state, &event->service);

	if (!host)
		return;
	checker_new_flow_check_service(checker, event, route, host);
	check_drain(checker, event, host);
	check_evacuation(checker, event, host);
	if (!route)
		return;
	check_removed_route(checker, event, route);
	record_version(checker, checker_node_index(checker, &event->node),
		       route, event->at_ms);
}
