#include "checker_context.h"

#include <inttypes.h>

#define TEXT_BYTES 240

/*
 * Returns the index of the node that sends from an address, or the number of
 * nodes if there is none.
 */
uint32_t checker_node_index(const struct soak_checker *checker,
			    const struct endpoint *from)
{
	for (uint32_t i = 0; i < checker->options.node_count; i++) {
		if (ip_addr_equal(&checker->options.nodes[i].addr, &from->addr))
			return i;
	}
	return checker->options.node_count;
}

/* Counts a violation of a rule, and describes it by the event's flow. */
void checker_report_violation(struct soak_checker *checker, enum soak_rule rule,
			      const struct flow_event *event, const char *what)
{
	char text[TEXT_BYTES];
	char caller[ENDPOINT_TEXT_BYTES];
	char service[ENDPOINT_TEXT_BYTES];
	uint32_t node = checker_node_index(checker, &event->node);

	g_snprintf(text, sizeof(text),
		   "%s; flow %s to %s, host %u, node %d, request %016" PRIx64,
		   what, endpoint_format(&event->caller, caller),
		   endpoint_format(&event->service, service), event->host,
		   node < checker->options.node_count ? (int)node : -1,
		   event->request_id);
	soak_tally_add_violation(checker->tally, rule, event->at_ms, text);
}

/* Returns whether a change must be in force on the node of the event. */
bool checker_must_be_in_force(const struct soak_checker *checker,
			      const struct flow_event *event,
			      int64_t changed_ms)
{
	return event->at_ms - changed_ms > UPDATE_DELAY_MAX_MS &&
	       stability_tracker_is_node_stable(
		       checker->stability,
		       checker_node_index(checker, &event->node), event->at_ms);
}
