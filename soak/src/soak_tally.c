#include <soak/soak_tally.h>

#define MS_PER_S 1000
/* Violations of each rule that are kept as text; others are only counted. */
#define LINES_PER_RULE 10

struct soak_tally {
	int64_t start_ms;
	uint64_t flow_event_counts[FLOW_EVENT_KIND_COUNT];
	uint32_t violation_counts[SOAK_RULE_COUNT];
	GPtrArray *violation_lines;
	/* Elements are struct soak_second, one per second of the run. */
	GArray *per_second_counts;
};

/*
 * Creates the tally of a run that begins at start_ms. Free it with
 * soak_tally_free.
 */
struct soak_tally *soak_tally_new(int64_t start_ms)
{
	struct soak_tally *tally = g_new0(struct soak_tally, 1);

	tally->start_ms = start_ms;
	tally->violation_lines = g_ptr_array_new_with_free_func(g_free);
	tally->per_second_counts =
		g_array_new(FALSE, TRUE, sizeof(struct soak_second));
	return tally;
}

/* Frees the tally. */
void soak_tally_free(struct soak_tally *tally)
{
	g_ptr_array_free(tally->violation_lines, TRUE);
	g_array_free(tally->per_second_counts, TRUE);
	g_free(tally);
}

/* Returns whether the event is a failure of a caller's request or flow. */
bool soak_flow_event_is_failure(enum flow_event_kind kind)
{
	switch (kind) {
	case FLOW_EVENT_WRONG_RESPONSE:
	case FLOW_EVENT_OPENING_RESET:
	case FLOW_EVENT_RESET:
	case FLOW_EVENT_HOST_RESET:
	case FLOW_EVENT_OPENING_UNANSWERED:
	case FLOW_EVENT_REQUEST_TIMED_OUT:
		return true;
	default:
		return false;
	}
}

static struct soak_second *second_at(struct soak_tally *tally, int64_t at_ms)
{
	int64_t second = MAX(0, (at_ms - tally->start_ms) / MS_PER_S);

	if (second >= tally->per_second_counts->len)
		g_array_set_size(tally->per_second_counts, (guint)second + 1);
	return &g_array_index(tally->per_second_counts, struct soak_second,
			      second);
}

/* Counts an event by its kind and, if an answer is expected, in its second. */
void soak_tally_count_event(struct soak_tally *tally,
			    const struct flow_event *event,
			    bool is_answer_expected)
{
	struct soak_second *second = second_at(tally, event->at_ms);

	tally->flow_event_counts[event->kind]++;
	if (!is_answer_expected)
		return;
	second->answered_count += event->kind == FLOW_EVENT_RESPONSE_COMPLETE;
	second->failed_count += soak_flow_event_is_failure(event->kind);
}

/* Counts a violation of a rule, described by text. */
void soak_tally_add_violation(struct soak_tally *tally, enum soak_rule rule,
			      int64_t at_ms, const char *text)
{
	if (tally->violation_counts[rule]++ >= LINES_PER_RULE)
		return;
	g_ptr_array_add(
		tally->violation_lines,
		g_strdup_printf("%8.3f s  %s: %s",
				(double)(at_ms - tally->start_ms) / MS_PER_S,
				soak_rule_name(rule), text));
}

/* Returns the number of events of a kind. */
uint64_t soak_tally_flow_event_count(const struct soak_tally *tally,
				     enum flow_event_kind kind)
{
	return tally->flow_event_counts[kind];
}

/* Returns the number of violations of a rule. */
uint32_t soak_tally_violation_count(const struct soak_tally *tally,
				    enum soak_rule rule)
{
	return tally->violation_counts[rule];
}

/* Returns the number of violations of all rules. */
uint32_t soak_tally_violation_sum(const struct soak_tally *tally)
{
	uint32_t sum = 0;

	for (int i = 0; i < SOAK_RULE_COUNT; i++)
		sum += tally->violation_counts[i];
	return sum;
}

/* Returns the lines of text on violations, in order of their detection. */
const GPtrArray *soak_tally_violation_lines(const struct soak_tally *tally)
{
	return tally->violation_lines;
}

/* Returns the number of seconds up to the last event. */
uint32_t soak_tally_second_count(const struct soak_tally *tally)
{
	return tally->per_second_counts->len;
}

/* Returns the counters of one second of the run. */
struct soak_second soak_tally_second(const struct soak_tally *tally,
				     uint32_t second)
{
	return g_array_index(tally->per_second_counts, struct soak_second,
			     second);
}
