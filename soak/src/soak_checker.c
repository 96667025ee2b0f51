#include <soak/soak_checker.h>

#include "checker_context.h"
#include "checker_new_flow.h"
#include "checker_open_flow.h"

#include <inttypes.h>

/* Lowest share of requests that must be answered in the quiet period. */
#define RECOVERED_PERCENT 99
#define PERCENT 100
#define TEXT_BYTES 240

/*
 * Creates a checker; options->nodes must outlive it. Free it with
 * soak_checker_free.
 */
struct soak_checker *
soak_checker_new(const struct soak_checker_options *options)
{
	struct soak_checker *checker = g_new0(struct soak_checker, 1);

	checker->options = *options;
	checker->stability = stability_tracker_new(options->node_count);
	checker->state = checker_state_new();
	checker->tally = soak_tally_new(options->start_ms);
	checker->observed_versions =
		g_new0(struct observed_version, options->node_count);
	return checker;
}

/* Frees a checker; NULL is allowed. */
void soak_checker_free(struct soak_checker *checker)
{
	if (!checker)
		return;
	stability_tracker_free(checker->stability);
	checker_state_free(checker->state);
	soak_tally_free(checker->tally);
	g_free(checker->observed_versions);
	g_free(checker);
}

/*
 * Updates the checker's state for a change or fault of the fleet. A process
 * fault counts as a violation.
 */
void soak_checker_handle_fleet_event(struct soak_checker *checker,
				     const struct soak_fleet_event *fleet_event)
{
	stability_tracker_update(checker->stability, fleet_event);
	checker_state_update(checker->state, fleet_event);
	if (fleet_event->kind == SOAK_FLEET_EVENT_NODE_STARTED &&
	    fleet_event->subject < checker->options.node_count)
		checker->observed_versions[fleet_event->subject] =
			(struct observed_version){0};
	if (fleet_event->kind == SOAK_FLEET_EVENT_QUIET_PERIOD)
		checker->quiet_start_ms = fleet_event->at_ms;
	if (fleet_event->kind == SOAK_FLEET_EVENT_PROCESS_FAULT)
		soak_tally_add_violation(checker->tally, SOAK_RULE_PROCESS,
					 fleet_event->at_ms, fleet_event->text);
}

/*
 * Callers also probe removed routes, which need not answer, and send requests
 * on flows whose host has stopped.
 */
static bool is_answer_expected(const struct soak_checker *checker,
			       const struct flow_event *event)
{
	const struct checker_route *route =
		checker_state_route(checker->state, &event->service);

	return route && route->is_present &&
	       !checker_open_flow_has_lost_host(checker, event);
}

static void count_quiet_period(struct soak_checker *checker,
			       const struct flow_event *event)
{
	if (checker->quiet_start_ms == 0 ||
	    event->started_ms < checker->quiet_start_ms ||
	    !is_answer_expected(checker, event))
		return;
	checker->quiet_answered_count +=
		event->kind == FLOW_EVENT_RESPONSE_COMPLETE;
	checker->quiet_failed_count += soak_flow_event_is_failure(event->kind);
}

/* Checks an event that a caller or host observed. */
void soak_checker_handle_flow_event(struct soak_checker *checker,
				    const struct flow_event *event)
{
	soak_tally_count_event(checker->tally, event,
			       is_answer_expected(checker, event));
	count_quiet_period(checker, event);
	switch (event->kind) {
	case FLOW_EVENT_OPENING_ACCEPTED:
		checker_new_flow_check(checker, event);
		checker_open_flow_supersede(checker, event);
		break;
	case FLOW_EVENT_OPENED:
		checker_open_flow_record(checker, event);
		break;
	case FLOW_EVENT_REQUEST_EXECUTED:
		checker_open_flow_check_execution(checker, event);
		break;
	case FLOW_EVENT_UNKNOWN_FLOW:
		checker_open_flow_check_unknown(checker, event);
		break;
	case FLOW_EVENT_HOST_RECEIVED_CORRUPT_PACKET:
	case FLOW_EVENT_CALLER_RECEIVED_CORRUPT_PACKET:
	case FLOW_EVENT_WRONG_RESPONSE:
		checker_report_violation(checker, SOAK_RULE_PACKET_CORRUPTED,
					 event, flow_event_name(event->kind));
		break;
	case FLOW_EVENT_RESET:
		checker_open_flow_check_reset(checker, event);
		break;
	case FLOW_EVENT_HOST_RESET:
		checker_open_flow_check_host_reset(checker, event);
		break;
	default:
		break;
	}
	if (soak_flow_event_is_failure(event->kind))
		checker_open_flow_check_failure(checker, event);
}

/* Checks that requests were answered again in the quiet period. */
void soak_checker_finish(struct soak_checker *checker, int64_t now_ms)
{
	uint64_t answered = checker->quiet_answered_count;
	uint64_t failed = checker->quiet_failed_count;
	char text[TEXT_BYTES];

	if (answered > 0 &&
	    answered * PERCENT >= (answered + failed) * RECOVERED_PERCENT)
		return;
	g_snprintf(text, sizeof(text),
		   "%" PRIu64 " requests answered and %" PRIu64
		   " failed of those started in the quiet period",
		   answered, failed);
	soak_tally_add_violation(checker->tally, SOAK_RULE_RECOVERY, now_ms,
				 text);
}

/* Returns the counters, which belong to the checker. */
const struct soak_tally *soak_checker_tally(const struct soak_checker *checker)
{
	return checker->tally;
}
