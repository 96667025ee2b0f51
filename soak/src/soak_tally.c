#include <soak/soak_tally.h>

#define MS_PER_S 1000
/* Lines kept for each rule; the others are only counted. */
#define LINES_PER_RULE 10

struct soak_tally {
	int64_t start_ms;
	uint64_t kind_counts[FLOW_EVENT_KIND_COUNT];
	uint32_t broken_counts[SOAK_RULE_COUNT];
	GPtrArray *lines;
	GArray *seconds;
};

/* Makes an empty tally of a run that begins then. */
struct soak_tally *soak_tally_new(int64_t start_ms)
{
	struct soak_tally *tally = g_new0(struct soak_tally, 1);

	tally->start_ms = start_ms;
	tally->lines = g_ptr_array_new_with_free_func(g_free);
	tally->seconds = g_array_new(FALSE, TRUE, sizeof(struct soak_second));
	return tally;
}

/* Frees a tally. */
void soak_tally_free(struct soak_tally *tally)
{
	g_ptr_array_free(tally->lines, TRUE);
	g_array_free(tally->seconds, TRUE);
	g_free(tally);
}

/* Tells whether a caller's request or flow failed so. */
bool soak_event_is_failure(enum flow_event_kind kind)
{
	switch (kind) {
	case FLOW_EVENT_WRONG_ANSWER:
	case FLOW_EVENT_OPENING_RESET:
	case FLOW_EVENT_RESET:
	case FLOW_EVENT_HOST_RESET:
	case FLOW_EVENT_OPENING_UNANSWERED:
	case FLOW_EVENT_REQUEST_UNANSWERED:
		return true;
	default:
		return false;
	}
}

static struct soak_second *second_at(struct soak_tally *tally, int64_t at_ms)
{
	int64_t second = MAX(0, (at_ms - tally->start_ms) / MS_PER_S);

	if (second >= tally->seconds->len)
		g_array_set_size(tally->seconds, (guint)second + 1);
	return &g_array_index(tally->seconds, struct soak_second, second);
}

/* Counts an event by its kind, and by its second where an answer is owed. */
void soak_tally_count(struct soak_tally *tally, const struct flow_event *event,
		      bool is_owed)
{
	struct soak_second *second = second_at(tally, event->at_ms);

	tally->kind_counts[event->kind]++;
	if (!is_owed)
		return;
	second->answered_count += event->kind == FLOW_EVENT_ANSWERED;
	second->failed_count += soak_event_is_failure(event->kind);
}

/* Notes that a rule was broken. */
void soak_tally_break(struct soak_tally *tally, enum soak_rule rule,
		      int64_t at_ms, const char *text)
{
	if (tally->broken_counts[rule]++ >= LINES_PER_RULE)
		return;
	g_ptr_array_add(
		tally->lines,
		g_strdup_printf("%8.3f s  %s: %s",
				(double)(at_ms - tally->start_ms) / MS_PER_S,
				soak_rule_name(rule), text));
}

/* Returns how many events of a kind there were. */
uint64_t soak_tally_kind_count(const struct soak_tally *tally,
			       enum flow_event_kind kind)
{
	return tally->kind_counts[kind];
}

/* Returns how often a rule was broken. */
uint32_t soak_tally_broken_count(const struct soak_tally *tally,
				 enum soak_rule rule)
{
	return tally->broken_counts[rule];
}

/* Returns how often any rule was broken. */
uint32_t soak_tally_broken_sum(const struct soak_tally *tally)
{
	uint32_t sum = 0;

	for (int i = 0; i < SOAK_RULE_COUNT; i++)
		sum += tally->broken_counts[i];
	return sum;
}

/* Returns the lines on broken rules, in order. */
const GPtrArray *soak_tally_lines(const struct soak_tally *tally)
{
	return tally->lines;
}

/* Returns how many seconds something was counted in, gaps included. */
uint32_t soak_tally_second_count(const struct soak_tally *tally)
{
	return tally->seconds->len;
}

/* Returns what one second of the run counted. */
struct soak_second soak_tally_second(const struct soak_tally *tally,
				     uint32_t second)
{
	return g_array_index(tally->seconds, struct soak_second, second);
}
