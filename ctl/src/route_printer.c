#include "route_printer.h"

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "none";
}

static long long number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Prints a word if the flag of this name is set. */
static void print_flag(FILE *out, const json_t *object, const char *key)
{
	if (json_is_true(json_object_get(object, key)))
		fprintf(out, " %s", key);
}

static void print_candidate(FILE *out, const json_t *candidate)
{
	static const char *const flags[] = {"removed",	      "avoided",
					    "zone_avoided",   "evacuated",
					    "warmup_limited", "tried"};

	fprintf(out,
		"  %-12s target=%s zone=%s%s state=%s slots=%lld own=%lld "
		"peer=%lld load=%lld pace=%lld compared=%lld",
		text_of(candidate, "outcome"), text_of(candidate, "target"),
		text_of(candidate, "zone"),
		json_is_true(json_object_get(candidate, "own_zone")) ? "(own)"
								     : "",
		text_of(candidate, "state"), number_of(candidate, "slots"),
		number_of(candidate, "own_open"),
		number_of(candidate, "peer_open"),
		number_of(candidate, "load_milli"),
		number_of(candidate, "pace_milli"),
		number_of(candidate, "compared_milli"));
	for (size_t i = 0; i < sizeof(flags) / sizeof(flags[0]); i++)
		print_flag(out, candidate, flags[i]);
	putc('\n', out);
}

static void print_service(FILE *out, const json_t *service)
{
	const json_t *candidates = json_object_get(service, "candidates");
	long long count = number_of(service, "candidate_count");

	fprintf(out, "service %s weight=%lld %s target=%s reason=%s level=%s",
		text_of(service, "service"), number_of(service, "weight"),
		text_of(service, "action"), text_of(service, "target"),
		text_of(service, "reason"), text_of(service, "level"));
	print_flag(out, service, "next");
	print_flag(out, service, "room_short");
	fprintf(out, " candidates=%lld\n", count);
	for (size_t i = 0; i < json_array_size(candidates); i++)
		print_candidate(out, json_array_get(candidates, i));
	if (count > (long long)json_array_size(candidates))
		fprintf(out, "  %lld more are not listed\n",
			count - (long long)json_array_size(candidates));
}

static void print_record(FILE *out, const json_t *explanation)
{
	const json_t *record = json_object_get(explanation, "record");

	if (!record)
		return;
	if (json_is_null(record))
		fprintf(out, "caller %s: no record on this node\n",
			text_of(explanation, "caller"));
	else
		fprintf(out,
			"caller %s: flow %s target=%s service=%s tries=%lld "
			"idle_ms=%lld\n",
			text_of(explanation, "caller"),
			text_of(record, "state"), text_of(record, "target"),
			text_of(record, "service"), number_of(record, "tries"),
			number_of(record, "idle_ms"));
}

/* Prints a line for the route, each service and each candidate. */
void route_printer_print(FILE *out, const json_t *explanation)
{
	const json_t *services = json_object_get(explanation, "services");

	fprintf(out, "route %s version=%lld kind=%s\n",
		text_of(explanation, "address"),
		number_of(explanation, "version"),
		text_of(explanation, "kind"));
	print_record(out, explanation);
	for (size_t i = 0; i < json_array_size(services); i++)
		print_service(out, json_array_get(services, i));
}
