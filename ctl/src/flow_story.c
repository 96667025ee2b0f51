#include <ctl/flow_story.h>

#include <string.h>

/* From this on a flow waits behind others at its target. */
#define COST_FULL_MILLI 1000

/* A node hears of changes within milliseconds and of silence within seconds. */
#define NEWS_OLD_MS 60000

/* Changes of a target tell of a flow when they come so shortly before it. */
#define TARGET_BEFORE_S 5.0

struct flow_story {
	GPtrArray *lines;
	GHashTable *targets;
	GHashTable *sources;
	double first_s;
	double last_s;
	char *caller;
	char *service;
	const struct log_line *odd_line;
	const char *cause;
};

static bool is_field(const struct log_line *line, const char *name,
		     const char *value)
{
	return g_strcmp0(log_line_field(line, name), value) == 0;
}

static int64_t number_of(const struct log_line *line, const char *name)
{
	const char *text = log_line_field(line, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static bool is_full(const struct log_line *line)
{
	return number_of(line, "cost_milli") > COST_FULL_MILLI;
}

static bool is_retry(const struct log_line *line)
{
	return is_field(line, "reason", "unanswered");
}

static bool is_no_service(const struct log_line *line)
{
	return is_field(line, "reason", "no_service");
}

static bool is_no_target(const struct log_line *line)
{
	return is_field(line, "reason", "no_target");
}

static bool is_not_ready(const struct log_line *line)
{
	return is_field(line, "reason", "not_ready");
}

static bool is_tag_unknown(const struct log_line *line)
{
	return is_field(line, "reason", "tag_unknown");
}

static bool is_restart(const struct log_line *line)
{
	return strcmp(log_line_event(line), "started") == 0;
}

static bool is_target_gone(const struct log_line *line)
{
	return strcmp(log_line_event(line), "target") == 0 &&
	       is_field(line, "state", "gone");
}

static bool is_avoided(const struct log_line *line)
{
	return strcmp(log_line_event(line), "avoided") == 0;
}

static bool is_reset_by_caller(const struct log_line *line)
{
	return strcmp(log_line_event(line), "flow_ended") == 0 &&
	       is_field(line, "by", "reset");
}

static bool is_slow(const struct log_line *line)
{
	return strcmp(log_line_event(line), "flow_ended") == 0 &&
	       is_field(line, "by", "close");
}

static bool is_news_old(const struct log_line *line)
{
	return number_of(line, "news_age_ms") > NEWS_OLD_MS;
}

/* What a line says of the flow's end, the more telling first. */
static const struct {
	bool (*is_it)(const struct log_line *line);
	const char *cause;
} causes[] = {
	{is_not_ready, "the node had just started and knew no configuration"},
	{is_no_service, "the configuration in force has no such route"},
	{is_no_target, "no target of the service took new flows"},
	{is_tag_unknown, "the node did not know the flow's target"},
	{is_restart, "the node that carried the flow started anew"},
	{is_retry, "a target left the opening packet without an answer"},
	{is_target_gone, "the target's entry went while the flow was open"},
	{is_avoided, "the target or its zone left opening packets unanswered"},
	{is_full, "every target was full, so the flow waited at one"},
	{is_reset_by_caller, "the caller gave up on the flow"},
	{is_news_old, "the node had not heard of changes for a minute"},
	{is_slow, "the target took long"},
};

/* A request's line names its flow; an id may also be the caller's address. */
static void find_flow(struct flow_story *story, const char *id,
		      const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len && !story->caller; i++) {
		const struct log_line *line = g_ptr_array_index(lines, i);

		if (!is_field(line, "id", id) && !is_field(line, "caller", id))
			continue;
		story->caller = g_strdup(log_line_field(line, "caller"));
		story->service = g_strdup(log_line_field(line, "service"));
	}
}

static bool is_of_flow(const struct flow_story *story,
		       const struct log_line *line)
{
	return is_field(line, "caller", story->caller) &&
	       is_field(line, "service", story->service);
}

static void note_line(struct flow_story *story, const struct log_line *line)
{
	const char *target = log_line_field(line, "target");
	double time_s = log_line_time_s(line);

	if (target && strcmp(target, "0") != 0)
		g_hash_table_add(story->targets, g_strdup(target));
	if (g_hash_table_size(story->sources) == 0) {
		story->first_s = time_s;
		story->last_s = time_s;
	}
	g_hash_table_add(story->sources, g_strdup(log_line_source(line)));
	story->first_s = MIN(story->first_s, time_s);
	story->last_s = MAX(story->last_s, time_s);
}

static void note_lines(struct flow_story *story, const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line = g_ptr_array_index(lines, i);

		if (is_of_flow(story, line))
			note_line(story, line);
	}
}

/*
 * Of a target, what the nodes that carried the flow heard of its entry and
 * health around that time; not its other flows.
 */
static bool is_of_target(const struct flow_story *story,
			 const struct log_line *line)
{
	const char *event = log_line_event(line);
	const char *target = log_line_field(line, "target");
	double time_s = log_line_time_s(line);

	return target &&
	       (strcmp(event, "target") == 0 ||
		strcmp(event, "avoided") == 0) &&
	       g_hash_table_contains(story->targets, target) &&
	       g_hash_table_contains(story->sources, log_line_source(line)) &&
	       time_s >= story->first_s - TARGET_BEFORE_S &&
	       time_s <= story->last_s + TARGET_BEFORE_S;
}

/* Collected lines name the node before the process. */
static gboolean is_same_node(gpointer a, gpointer b, gpointer source)
{
	size_t length = strcspn(source, " ");

	return strncmp(a, source, length + 1) == 0;
}

/* A start of the same node shortly after the flow's last line. */
static bool is_start_behind(const struct flow_story *story,
			    const struct log_line *line)
{
	double time_s = log_line_time_s(line);
	const char *source = log_line_source(line);

	return strcmp(log_line_event(line), "started") == 0 &&
	       time_s > story->last_s &&
	       time_s <= story->last_s + TARGET_BEFORE_S &&
	       strchr(source, '[') > strchr(source, ' ') &&
	       g_hash_table_find(story->sources, is_same_node,
				 (gpointer)source) != NULL;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	double left_s = log_line_time_s(*(const struct log_line *const *)a);
	double right_s = log_line_time_s(*(const struct log_line *const *)b);

	return left_s < right_s ? -1 : left_s > right_s ? 1 : 0;
}

static void collect(struct flow_story *story, const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		struct log_line *line = g_ptr_array_index(lines, i);

		if (is_of_flow(story, line) || is_of_target(story, line) ||
		    is_start_behind(story, line))
			g_ptr_array_add(story->lines, line);
	}
	g_ptr_array_sort(story->lines, compare_times);
}

static void judge(struct flow_story *story)
{
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		for (guint j = 0; j < story->lines->len; j++) {
			const struct log_line *line =
				g_ptr_array_index(story->lines, j);

			if (!causes[i].is_it(line))
				continue;
			story->odd_line = line;
			story->cause = causes[i].cause;
			return;
		}
	}
}

/*
 * Finds the flow of a request's id, or of a caller's address, among lines of
 * struct log_line, which must outlive the story. Free it with flow_story_free.
 */
struct flow_story *flow_story_new(const char *id, const GPtrArray *lines)
{
	struct flow_story *story = g_new0(struct flow_story, 1);

	story->lines = g_ptr_array_new();
	story->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	story->sources =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	find_flow(story, id, lines);
	if (!story->caller)
		return story;
	note_lines(story, lines);
	collect(story, lines);
	judge(story);
	return story;
}

/* Frees a story; NULL is allowed. */
void flow_story_free(struct flow_story *story)
{
	if (!story)
		return;
	g_ptr_array_free(story->lines, TRUE);
	g_hash_table_destroy(story->targets);
	g_hash_table_destroy(story->sources);
	g_free(story->caller);
	g_free(story->service);
	g_free(story);
}

/* Returns the lines, struct log_line, in the order of their times. */
const GPtrArray *flow_story_lines(const struct flow_story *story)
{
	return story->lines;
}

/* Returns the line that tells most of what went wrong, or NULL. */
const struct log_line *flow_story_odd_line(const struct flow_story *story)
{
	return story->odd_line;
}

/* Returns what went wrong in a few words, or NULL. */
const char *flow_story_cause(const struct flow_story *story)
{
	return story->cause;
}
