#include <soak/soak_judge.h>

#include "judge_book.h"
#include "judge_touch.h"

#include <inttypes.h>

/* Changes must be in force within this time, by the two years' target. */
#define IN_FORCE_MS 4000
/* Packets under way when a node learns of a version; a generous second. */
#define REORDER_MS 1000
/* Fewer packets than this at another host may be reordered ones. */
#define STRAY_COUNT_MIN 3
/* Of the requests in the quiet time at the end, so many must be answered. */
#define RECOVERED_PERCENT 99
#define PERCENT 100
#define TEXT_BYTES 240

/* The newest version whose effect came through a node's process, and when. */
struct seen_version {
	uint32_t version;
	int64_t seen_ms;
};

struct soak_judge {
	struct soak_judge_options options;
	struct judge_touch *touch;
	struct judge_book *book;
	struct soak_tally *tally;
	struct seen_version *seen;
	/* Requests that began in the quiet time at the end. */
	int64_t quiet_ms;
	uint64_t quiet_answered_count;
	uint64_t quiet_failed_count;
};

/* Makes a judge; nodes must outlive it. The caller frees it. */
struct soak_judge *soak_judge_new(const struct soak_judge_options *options)
{
	struct soak_judge *judge = g_new0(struct soak_judge, 1);

	judge->options = *options;
	judge->touch = judge_touch_new(options->node_count);
	judge->book = judge_book_new();
	judge->tally = soak_tally_new(options->start_ms);
	judge->seen = g_new0(struct seen_version, options->node_count);
	return judge;
}

/* Frees a judge; NULL is allowed. */
void soak_judge_free(struct soak_judge *judge)
{
	if (!judge)
		return;
	judge_touch_free(judge->touch);
	judge_book_free(judge->book);
	soak_tally_free(judge->tally);
	g_free(judge->seen);
	g_free(judge);
}

/* Takes in what was done to the fleet. */
void soak_judge_fact(struct soak_judge *judge, const struct soak_fact *fact)
{
	judge_touch_note(judge->touch, fact);
	judge_book_note(judge->book, fact);
	if (fact->kind == SOAK_NODE_STARTED &&
	    fact->subject < judge->options.node_count)
		judge->seen[fact->subject] = (struct seen_version){0};
	if (fact->kind == SOAK_QUIET)
		judge->quiet_ms = fact->at_ms;
	if (fact->kind == SOAK_PROCESS_FAULT)
		soak_tally_break(judge->tally, SOAK_RULE_PROCESS, fact->at_ms,
				 fact->text);
}

static uint32_t node_of(const struct soak_judge *judge,
			const struct endpoint *from)
{
	for (uint32_t i = 0; i < judge->options.node_count; i++) {
		if (ip_addr_equal(&judge->options.nodes[i].addr, &from->addr))
			return i;
	}
	return judge->options.node_count;
}

static void break_rule(struct soak_judge *judge, enum soak_rule rule,
		       const struct flow_event *event, const char *what)
{
	char text[TEXT_BYTES];
	char caller[ENDPOINT_TEXT_BYTES];
	char service[ENDPOINT_TEXT_BYTES];
	uint32_t node = node_of(judge, &event->node);

	g_snprintf(text, sizeof(text),
		   "%s; flow %s to %s, host %u, node %d, request %016" PRIx64,
		   what, endpoint_format(&event->caller, caller),
		   endpoint_format(&event->service, service), event->host,
		   node < judge->options.node_count ? (int)node : -1,
		   event->request_id);
	soak_tally_break(judge->tally, rule, event->at_ms, text);
}

/* Whether a change of that time has to be in force on the event's node. */
static bool is_bound_over(const struct soak_judge *judge,
			  const struct flow_event *event, int64_t changed_ms)
{
	return event->at_ms - changed_ms > IN_FORCE_MS &&
	       judge_touch_has_node(judge->touch, node_of(judge, &event->node),
				    event->at_ms);
}

static void judge_service(struct soak_judge *judge,
			  const struct flow_event *event,
			  const struct judged_route *route,
			  const struct judged_host *host)
{
	if (route && route->service == host->service)
		return;
	if (!route || !judged_route_had(route, host->service))
		break_rule(judge, SOAK_RULE_SERVICE, event,
			   "a packet came to a host of another service");
	else if (is_bound_over(judge, event, route->changed_ms))
		break_rule(judge, SOAK_RULE_CONFIG, event,
			   "a new flow came to a former service of the route");
}

static void judge_drain(struct soak_judge *judge,
			const struct flow_event *event,
			const struct judged_host *host)
{
	if (host->is_draining && is_bound_over(judge, event, host->changed_ms))
		break_rule(judge, SOAK_RULE_DRAIN, event,
			   "a new flow came to a draining host");
}

static void note_version(struct soak_judge *judge, uint32_t node,
			 const struct judged_route *route, int64_t at_ms)
{
	struct seen_version *seen;

	if (node >= judge->options.node_count || !route->is_present)
		return;
	seen = &judge->seen[node];
	if (route->version <= seen->version)
		return;
	*seen = (struct seen_version){route->version, at_ms};
}

static void judge_removed(struct soak_judge *judge,
			  const struct flow_event *event,
			  const struct judged_route *route)
{
	uint32_t node = node_of(judge, &event->node);
	const struct seen_version *seen;

	if (route->is_present || node >= judge->options.node_count)
		return;
	if (is_bound_over(judge, event, route->changed_ms))
		break_rule(judge, SOAK_RULE_CONFIG, event,
			   "a new flow came by a route that was removed");
	seen = &judge->seen[node];
	if (route->version <= seen->version &&
	    event->at_ms - seen->seen_ms > REORDER_MS)
		break_rule(judge, SOAK_RULE_GOES_BACK, event,
			   "a node used an older version than before");
}

static void judge_opening(struct soak_judge *judge,
			  const struct flow_event *event)
{
	const struct judged_host *host =
		judge_book_host(judge->book, event->host);
	const struct judged_route *route =
		judge_book_route(judge->book, &event->service);

	if (!host)
		return;
	judge_service(judge, event, route, host);
	judge_drain(judge, event, host);
	if (!route)
		return;
	judge_removed(judge, event, route);
	note_version(judge, node_of(judge, &event->node), route, event->at_ms);
}

static void judge_unknown_flow(struct soak_judge *judge,
			       const struct flow_event *event)
{
	struct judged_flow *flow = judge_book_flow(judge->book, &event->caller);
	const struct judged_host *host =
		judge_book_host(judge->book, event->host);
	const struct judged_host *own =
		judge_book_host(judge->book, flow->host);

	if (host)
		judge_service(judge, event,
			      judge_book_route(judge->book, &event->service),
			      host);
	if (!flow->is_open || flow->host == event->host || !own || own->is_gone)
		return;
	flow->stray_count++;
	if (flow->stray_count == STRAY_COUNT_MIN)
		break_rule(judge, SOAK_RULE_FLOW_MOVED, event,
			   "packets of an open flow went to another host");
}

static void note_open(struct soak_judge *judge, const struct flow_event *event)
{
	struct judged_flow *flow = judge_book_flow(judge->book, &event->caller);

	flow->host = event->host;
	flow->is_open = true;
	flow->stray_count = 0;
}

static void judge_run(struct soak_judge *judge, const struct flow_event *event)
{
	if (judge_book_count_run(judge->book, event->request_id) > 1)
		break_rule(judge, SOAK_RULE_RUN_TWICE, event,
			   "a request was run again");
}

static void judge_flow_reset(struct soak_judge *judge,
			     const struct flow_event *event)
{
	const struct judged_flow *flow =
		judge_book_flow(judge->book, &event->caller);
	const struct judged_host *host =
		judge_book_host(judge->book, flow->host);
	const struct judged_route *route =
		judge_book_route(judge->book, &event->service);

	if (flow->is_open && host && !host->is_gone && route &&
	    route->is_present)
		break_rule(judge, SOAK_RULE_FLOW_RESET, event,
			   "an open flow was reset by a node");
}

/* Failures count where nothing but planned work can have caused them. */
static void judge_failure(struct soak_judge *judge,
			  const struct flow_event *event)
{
	const struct judged_route *route =
		judge_book_route(judge->book, &event->service);

	if (!route || !route->is_present ||
	    event->started_ms - route->changed_ms < IN_FORCE_MS ||
	    !judge_touch_is_calm(judge->touch, event->started_ms))
		return;
	break_rule(judge, SOAK_RULE_CALM_FAILURE, event,
		   flow_event_name(event->kind));
}

/* Callers also try routes that are not in force; those owe them nothing. */
static bool is_owed(const struct soak_judge *judge,
		    const struct flow_event *event)
{
	const struct judged_route *route =
		judge_book_route(judge->book, &event->service);

	return route && route->is_present;
}

static void count_quiet(struct soak_judge *judge,
			const struct flow_event *event)
{
	if (judge->quiet_ms == 0 || event->started_ms < judge->quiet_ms ||
	    !is_owed(judge, event))
		return;
	judge->quiet_answered_count += event->kind == FLOW_EVENT_ANSWERED;
	judge->quiet_failed_count += soak_event_is_failure(event->kind);
}

/* Takes in what an end of a flow saw. */
void soak_judge_event(struct soak_judge *judge, const struct flow_event *event)
{
	soak_tally_count(judge->tally, event, is_owed(judge, event));
	count_quiet(judge, event);
	switch (event->kind) {
	case FLOW_EVENT_OPENING_ACCEPTED:
		judge_opening(judge, event);
		break;
	case FLOW_EVENT_OPENED:
		note_open(judge, event);
		break;
	case FLOW_EVENT_REQUEST_RUN:
		judge_run(judge, event);
		break;
	case FLOW_EVENT_UNKNOWN_FLOW:
		judge_unknown_flow(judge, event);
		break;
	case FLOW_EVENT_HOST_GOT_CORRUPT:
	case FLOW_EVENT_CALLER_GOT_CORRUPT:
	case FLOW_EVENT_WRONG_ANSWER:
		break_rule(judge, SOAK_RULE_CHANGED, event,
			   flow_event_name(event->kind));
		break;
	case FLOW_EVENT_RESET:
		judge_flow_reset(judge, event);
		break;
	default:
		break;
	}
	if (soak_event_is_failure(event->kind))
		judge_failure(judge, event);
}

/* Judges whether requests were served again in the quiet time. */
void soak_judge_finish(struct soak_judge *judge, int64_t now_ms)
{
	uint64_t answered = judge->quiet_answered_count;
	uint64_t failed = judge->quiet_failed_count;
	char text[TEXT_BYTES];

	if (answered > 0 &&
	    answered * PERCENT >= (answered + failed) * RECOVERED_PERCENT)
		return;
	g_snprintf(text, sizeof(text),
		   "%" PRIu64 " requests answered and %" PRIu64
		   " failed of those begun in the quiet time at the end",
		   answered, failed);
	soak_tally_break(judge->tally, SOAK_RULE_RECOVERY, now_ms, text);
}

/* Returns what was counted so far; it belongs to the judge. */
const struct soak_tally *soak_judge_tally(const struct soak_judge *judge)
{
	return judge->tally;
}
