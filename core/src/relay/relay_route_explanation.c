#include <core/relay_route_explanation.h>

#include "relay_cold_targets.h"
#include "relay_room_keeper.h"
#include "relay_selection.h"
#include "relay_trial.h"

#include <core/relay_choice.h>

#define MILLI_PER_UNIT 1000

static const char *const level_names[CHOICE_LEVEL_COUNT] = {
	[CHOICE_AMONG_HEALTHY] = "healthy",
	[CHOICE_AMONG_AVOIDED] = "avoided",
	[CHOICE_AMONG_TRIED] = "tried",
	[CHOICE_OF_NONE] = "none",
};

/* Returns the name used in explanations. */
const char *relay_choice_level_name(enum relay_choice_level level)
{
	return level < CHOICE_LEVEL_COUNT ? level_names[level] : "invalid";
}

/*
 * A choice to explain: its flow, the chosen target or NULL, and the time.
 * released is the target that has one flow less in the choice than before it,
 * or NULL.
 */
struct explained_choice {
	struct relay_director *director;
	const struct relay_flow *flow;
	const struct relay_target *chosen;
	const struct relay_target *released;
	enum relay_choice_level level;
	uint32_t chosen_milli;
	uint32_t chosen_zone_id;
	int64_t now_ms;
};

static bool is_tried(const struct relay_flow *flow, uint32_t tag)
{
	for (uint32_t i = 0; i < flow->try_count; i++) {
		if (flow->tried_tags[i] == tag)
			return true;
	}
	return false;
}

/* Each level of the choice includes the previous one and is used after it. */
static enum relay_choice_level
level_of(const struct relay_route_candidate *chosen)
{
	if (chosen->is_tried)
		return CHOICE_AMONG_TRIED;
	return chosen->is_avoided || chosen->is_zone_avoided
		       ? CHOICE_AMONG_AVOIDED
		       : CHOICE_AMONG_HEALTHY;
}

static enum relay_candidate_outcome
outcome_of(const struct explained_choice *choice,
	   const struct relay_route_candidate *candidate)
{
	if (!candidate->is_accepting)
		return CANDIDATE_NOT_SERVING;
	if (candidate->is_evacuated)
		return CANDIDATE_EVACUATED;
	if (candidate->is_limited)
		return CANDIDATE_WARMUP_LIMIT;
	if (candidate->is_tried && choice->level < CHOICE_AMONG_TRIED)
		return CANDIDATE_TRIED;
	if (candidate->is_avoided && choice->level < CHOICE_AMONG_AVOIDED)
		return CANDIDATE_AVOIDED;
	if (candidate->is_zone_avoided && choice->level < CHOICE_AMONG_AVOIDED)
		return CANDIDATE_ZONE_AVOIDED;
	if (choice->director->is_in_turn)
		return candidate->zone_id == choice->chosen_zone_id
			       ? CANDIDATE_NOT_ITS_TURN
			       : CANDIDATE_OTHER_ZONE;
	return candidate->compared_milli > choice->chosen_milli
		       ? CANDIDATE_MORE_LOADED
		       : CANDIDATE_NOT_DRAWN;
}

/* Describes a target, without its outcome. */
static struct relay_route_candidate
describe(const struct explained_choice *choice,
	 const struct relay_target *entry)
{
	struct relay_director *director = choice->director;
	int64_t now_ms = choice->now_ms;

	return (struct relay_route_candidate){
		.target_id = entry->target.target_id,
		.zone_id = entry->target.zone_id,
		.state = entry->target.state,
		.slot_count = entry->target.slot_count,
		.own_open_count =
			entry->own_open_count + (entry == choice->released),
		.peer_open_count = entry->peer_open_count,
		.load_milli = relay_target_cost_milli(entry, now_ms),
		.pace_milli = relay_target_paced_milli(entry, MILLI_PER_UNIT),
		.compared_milli = relay_choice_cost_milli(
			entry, director->options.zone_id, now_ms),
		.is_own_zone =
			entry->target.zone_id == director->options.zone_id,
		.is_removed = entry->removed_ms != 0,
		.is_accepting = relay_target_accepts_new_flows(entry, now_ms),
		.is_avoided = relay_health_is_avoided(&entry->health, now_ms),
		.is_zone_avoided = relay_zone_health_is_avoided(
			director->zone_health, entry->target.zone_id, now_ms),
		.is_evacuated = relay_selection_is_evacuated(director, entry),
		.is_limited =
			!relay_cold_targets_may_send(director, entry, now_ms),
		.is_tried = is_tried(choice->flow, entry->tag),
	};
}

/* Lists the chosen target, then the others up to the maximum. */
static void list_candidates(struct explained_choice *choice,
			    struct relay_service_explanation *service,
			    const GPtrArray *targets)
{
	struct relay_route_candidate candidate;

	service->candidate_count = targets->len;
	service->level = CHOICE_OF_NONE;
	if (choice->chosen) {
		candidate = describe(choice, choice->chosen);
		candidate.outcome = CANDIDATE_CHOSEN;
		choice->chosen_milli = candidate.compared_milli;
		choice->chosen_zone_id = candidate.zone_id;
		service->level = level_of(&candidate);
		g_array_append_val(service->candidates, candidate);
	}
	choice->level = service->level;
	for (guint i = 0; i < targets->len &&
			  service->candidates->len < RELAY_CANDIDATE_COUNT_MAX;
	     i++) {
		const struct relay_target *entry =
			g_ptr_array_index(targets, i);

		if (entry == choice->chosen)
			continue;
		candidate = describe(choice, entry);
		candidate.outcome = outcome_of(choice, &candidate);
		g_array_append_val(service->candidates, candidate);
	}
}

static enum reason reason_of(const struct explained_choice *choice)
{
	struct relay_director *director = choice->director;

	if (choice->chosen && choice->flow->try_count > 0)
		return REASON_UNANSWERED;
	if (choice->chosen)
		return director->is_in_turn ? REASON_IN_TURN
					    : REASON_LEAST_LOADED;
	if (relay_director_is_starting(director, choice->now_ms))
		return REASON_NOT_READY;
	if (director->is_rate_met)
		return REASON_WARMUP_LIMIT;
	return relay_selection_refusal(director, choice->flow->service_id,
				       choice->now_ms);
}

/*
 * Returns the record whose load a new flow takes off before its choice: the
 * previous one of the same ports, or one that makes room. NULL if none.
 */
static const struct relay_flow *find_released(struct relay_director *director,
					      const struct relay_flow *flow)
{
	if (flow || !relay_flow_table_is_full(director->flows))
		return flow;
	return relay_flow_table_eviction_candidate(director->flows);
}

/*
 * Takes a record's load off its target, during a trial of its service. Returns
 * the target if that was done, or NULL.
 */
static const struct relay_target *
release_load(const struct relay_trial *trial, const struct relay_flow *released)
{
	if (!released || !released->is_counted)
		return NULL;
	for (guint i = 0; i < trial->targets->len; i++) {
		struct relay_target *entry =
			g_ptr_array_index(trial->targets, i);

		if (entry->tag != released->tag || entry->own_open_count == 0)
			continue;
		entry->own_open_count--;
		return entry;
	}
	return NULL;
}

/*
 * Explains the choice of one service. flow is the caller's record or NULL. The
 * choice is that of the next try if its opening packet is unanswered. A new
 * flow's service is drawn before its target, so that the draw is repeated for
 * each service.
 */
static void explain_service(struct relay_director *director,
			    const struct relay_route *route,
			    const struct relay_flow *record,
			    struct relay_service_explanation *service,
			    int64_t now_ms)
{
	bool is_unanswered = record && record->state == RELAY_FLOW_OPENING;
	struct relay_flow flow = {.service_id = service->service_id};
	struct explained_choice choice = {
		.director = director, .flow = &flow, .now_ms = now_ms};
	struct relay_trial trial;

	relay_trial_begin(&trial, director, service->service_id);
	if (!is_unanswered) {
		choice.released =
			release_load(&trial, find_released(director, record));
		service->is_next =
			relay_selection_pick_service(director, route) ==
			service->service_id;
	} else if (record->service_id == service->service_id) {
		service->is_next = true;
		flow = *record;
	}
	choice.chosen = relay_selection_choose(director, &flow, now_ms);
	service->target_id =
		choice.chosen ? choice.chosen->target.target_id : TARGET_NONE;
	service->reason = reason_of(&choice);
	service->is_short = director->room_keeper &&
			    relay_room_keeper_is_short(director->room_keeper,
						       service->service_id);
	list_candidates(&choice, service, trial.targets);
	relay_trial_end(&trial);
}

static const struct relay_flow *
find_flow(struct relay_director *director,
	  const struct relay_route_question *question)
{
	const struct relay_packet packet = {.caller = question->caller,
					    .service = question->service};

	if (!question->has_caller)
		return NULL;
	return relay_flow_table_find(director->flows,
				     relay_packet_flow_hash(director, &packet));
}

static void describe_record(struct relay_route_explanation *explanation,
			    struct relay_director *director,
			    const struct relay_flow *flow, int64_t now_ms)
{
	const struct relay_target *entry =
		relay_directory_find(director->directory, flow->tag);

	explanation->has_record = true;
	explanation->record = (struct relay_route_record){
		.state = flow->state,
		.target_id = entry ? entry->target.target_id : TARGET_NONE,
		.service_id = flow->service_id,
		.try_count = flow->try_count,
		.idle_ms = now_ms - flow->used_ms,
	};
}

static void explain_route(struct relay_route_explanation *explanation,
			  struct relay_director *director,
			  const struct relay_route *route, int64_t now_ms)
{
	const struct relay_flow *flow =
		find_flow(director, &explanation->question);

	if (flow)
		describe_record(explanation, director, flow, now_ms);
	explanation->kind = route->kind;
	explanation->service_count = route->share_count;
	explanation->services =
		g_new0(struct relay_service_explanation, route->share_count);
	for (uint32_t i = 0; i < route->share_count; i++) {
		struct relay_service_explanation *service =
			&explanation->services[i];

		service->service_id = route->shares[i].service_id;
		service->weight = route->shares[i].weight;
		service->candidates = g_array_new(
			FALSE, FALSE, sizeof(struct relay_route_candidate));
		explain_service(director, route, flow, service, now_ms);
	}
}

/*
 * Explains where a new flow to an address would go now. Changes nothing: the
 * next decisions are those that would have come anyway. Free the explanation
 * with relay_route_explanation_free.
 */
struct relay_route_explanation *
relay_route_explain(struct relay_director *director,
		    const struct relay_route_question *question, int64_t now_ms)
{
	struct relay_route_explanation *explanation =
		g_new0(struct relay_route_explanation, 1);
	const struct relay_route *route;

	explanation->question = *question;
	explanation->status = RELAY_ROUTE_NOT_READY;
	if (!director->routes)
		return explanation;
	route = relay_route_table_find(director->routes, &question->service);
	explanation->status = route ? RELAY_ROUTE_FOUND : RELAY_ROUTE_UNKNOWN;
	explanation->version = relay_route_table_version(director->routes);
	if (route)
		explain_route(explanation, director, route, now_ms);
	return explanation;
}

/* Frees the explanation; NULL is allowed. */
void relay_route_explanation_free(struct relay_route_explanation *explanation)
{
	if (!explanation)
		return;
	for (uint32_t i = 0; i < explanation->service_count; i++)
		g_array_free(explanation->services[i].candidates, TRUE);
	g_free(explanation->services);
	g_free(explanation);
}
