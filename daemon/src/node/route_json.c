#include "route_json.h"

#include <inttypes.h>
#include <jansson.h>

static const char *const kind_names[RELAY_ROUTE_KIND_COUNT] = {
	[RELAY_ROUTE_UNSAFE] = "unsafe",
	[RELAY_ROUTE_SAFE] = "safe",
	[RELAY_ROUTE_DOWNLOAD] = "download",
};

static const char *const record_names[] = {
	[RELAY_FLOW_OPENING] = "unanswered", [RELAY_FLOW_OPEN] = "open",
	[RELAY_FLOW_ENDED] = "ended",	     [RELAY_FLOW_MOVED] = "moved",
	[RELAY_FLOW_CLOSED] = "closed",
};

/* Ids are written as in log lines. */
static json_t *encode_id(uint32_t id)
{
	return json_sprintf("%08" PRIx32, id);
}

static json_t *encode_target_id(uint64_t target_id)
{
	return target_id == TARGET_NONE ? json_null()
					: json_sprintf("%" PRIx64, target_id);
}

static json_t *encode_endpoint(const struct endpoint *endpoint)
{
	char text[ENDPOINT_TEXT_BYTES];

	return json_string(endpoint_format(endpoint, text));
}

static json_t *encode_candidate(const struct relay_route_candidate *candidate)
{
	return json_pack(
		"{s:o, s:o, s:b, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:b, "
		"s:b, s:b, s:b, s:b, s:s}",
		"target", encode_target_id(candidate->target_id), "zone",
		encode_id(candidate->zone_id), "own_zone",
		candidate->is_own_zone, "state",
		target_state_name(candidate->state), "removed",
		candidate->is_removed, "slots",
		(json_int_t)candidate->slot_count, "own_open",
		(json_int_t)candidate->own_open_count, "peer_open",
		(json_int_t)candidate->peer_open_count, "load_milli",
		(json_int_t)candidate->load_milli, "pace_milli",
		(json_int_t)candidate->pace_milli, "compared_milli",
		(json_int_t)candidate->compared_milli, "avoided",
		candidate->is_avoided, "zone_avoided",
		candidate->is_zone_avoided, "evacuated",
		candidate->is_evacuated, "warmup_limited",
		candidate->is_limited, "tried", candidate->is_tried, "outcome",
		relay_candidate_outcome_name(candidate->outcome));
}

static json_t *encode_service(const struct relay_service_explanation *service)
{
	json_t *candidates = json_array();

	for (guint i = 0; i < service->candidates->len; i++)
		json_array_append_new(
			candidates, encode_candidate(&g_array_index(
					    service->candidates,
					    struct relay_route_candidate, i)));
	return json_pack(
		"{s:o, s:I, s:b, s:b, s:s, s:o, s:s, s:s, s:I, s:o}", "service",
		encode_id(service->service_id), "weight",
		(json_int_t)service->weight, "next", service->is_next,
		"room_short", service->is_short, "action",
		service->target_id == TARGET_NONE ? "refuse" : "forward",
		"target", encode_target_id(service->target_id), "reason",
		reason_name(service->reason), "level",
		relay_choice_level_name(service->level), "candidate_count",
		(json_int_t)service->candidate_count, "candidates", candidates);
}

/* The caller's record is null if the node has none. */
static json_t *encode_record(const struct relay_route_explanation *explanation)
{
	const struct relay_route_record *record = &explanation->record;

	if (!explanation->has_record)
		return json_null();
	return json_pack("{s:s, s:o, s:o, s:I, s:I}", "state",
			 record_names[record->state], "target",
			 encode_target_id(record->target_id), "service",
			 encode_id(record->service_id), "tries",
			 (json_int_t)record->try_count, "idle_ms",
			 (json_int_t)record->idle_ms);
}

static char *dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

/* Returns the explanation of a route that was found; free it with free. */
char *route_json_encode(const struct relay_route_explanation *explanation)
{
	const struct relay_route_question *question = &explanation->question;
	json_t *services = json_array();
	json_t *root;

	for (uint32_t i = 0; i < explanation->service_count; i++)
		json_array_append_new(
			services, encode_service(&explanation->services[i]));
	root = json_pack("{s:o, s:I, s:s, s:o}", "address",
			 encode_endpoint(&question->service), "version",
			 (json_int_t)explanation->version, "kind",
			 kind_names[explanation->kind], "services", services);
	if (question->has_caller) {
		json_object_set_new(root, "caller",
				    encode_endpoint(&question->caller));
		json_object_set_new(root, "record", encode_record(explanation));
	}
	return dump(root);
}

/* Returns an object with an error; free it with free. */
char *route_json_encode_error(const char *text)
{
	return dump(json_pack("{s:s}", "error", text));
}
