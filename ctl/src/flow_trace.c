#include <ctl/flow_trace.h>

#include <string.h>

/* Above this cost a new flow has to wait for a slot of the target. */
#define FULL_TARGET_COST_MILLI 1000

/*
 * A node normally gets changes within milliseconds, and notices within seconds
 * that updates have stopped.
 */
#define UPDATE_AGE_MAX_MS 60000

/* Events up to this long before or after a flow are related to it. */
#define EVENT_WINDOW_S 5.0

/*
 * targets and sources are sets: the targets of the flow, and the nodes and
 * processes that logged its lines, which date from first_s to last_s.
 */
struct flow_trace {
	GPtrArray *lines;
	GHashTable *targets;
	GHashTable *sources;
	double first_s;
	double last_s;
	char *caller;
	char *service;
	const struct log_line *cause_line;
	const char *cause;
};

static bool field_equals(const struct log_line *line, const char *name,
			 const char *value)
{
	return g_strcmp0(log_line_field(line, name), value) == 0;
}

static int64_t field_number(const struct log_line *line, const char *name)
{
	const char *text = log_line_field(line, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static bool is_target_full(const struct log_line *line)
{
	return field_number(line, "cost_milli") > FULL_TARGET_COST_MILLI;
}

static bool is_opening_unanswered(const struct log_line *line)
{
	return field_equals(line, "reason", "unanswered");
}

static bool is_no_service(const struct log_line *line)
{
	return field_equals(line, "reason", "no_service");
}

static bool is_no_target(const struct log_line *line)
{
	return field_equals(line, "reason", "no_target");
}

static bool is_evacuated(const struct log_line *line)
{
	return field_equals(line, "reason", "evacuated") &&
	       !field_equals(line, "action", "forward");
}

static bool is_moved_by_evacuation(const struct log_line *line)
{
	return field_equals(line, "reason", "evacuated") &&
	       field_equals(line, "action", "forward");
}

static bool is_warmup_limit(const struct log_line *line)
{
	return field_equals(line, "action", "reset") &&
	       field_equals(line, "reason", "warmup_limit");
}

static bool is_class_limit(const struct log_line *line)
{
	return field_equals(line, "reason", "class_limit") &&
	       field_equals(line, "action", "reset");
}

static bool is_caller_share(const struct log_line *line)
{
	return field_equals(line, "reason", "caller_share") &&
	       field_equals(line, "action", "reset");
}

static bool is_target_lost(const struct log_line *line)
{
	return field_equals(line, "reason", "target_lost");
}

static bool is_not_ready(const struct log_line *line)
{
	return field_equals(line, "reason", "not_ready");
}

static bool is_tag_unknown(const struct log_line *line)
{
	return field_equals(line, "reason", "tag_unknown");
}

static bool is_opening_stale(const struct log_line *line)
{
	return field_equals(line, "reason", "stale_packet");
}

static bool is_restart(const struct log_line *line)
{
	return strcmp(log_line_event(line), "started") == 0;
}

static bool is_target_removed(const struct log_line *line)
{
	return strcmp(log_line_event(line), "target") == 0 &&
	       field_equals(line, "state", "gone");
}

static bool is_target_avoided(const struct log_line *line)
{
	return strcmp(log_line_event(line), "avoided") == 0;
}

static bool is_reset_by_caller(const struct log_line *line)
{
	return strcmp(log_line_event(line), "flow_ended") == 0 &&
	       field_equals(line, "by", "reset");
}

static bool is_flow_closed(const struct log_line *line)
{
	return strcmp(log_line_event(line), "flow_ended") == 0 &&
	       field_equals(line, "by", "close");
}

static bool is_update_stale(const struct log_line *line)
{
	return field_number(line, "news_age_ms") > UPDATE_AGE_MAX_MS;
}

/* The causes and the lines that show them, the most specific first. */
static const struct {
	bool (*matches)(const struct log_line *line);
	const char *cause;
} causes[] = {
	{is_not_ready, "the node had just started and knew no configuration"},
	{is_no_service, "the configuration in force has no such route"},
	{is_no_target, "no target of the service took new flows"},
	{is_evacuated,
	 "all zones with targets of the service were being evacuated"},
	{is_warmup_limit,
	 "the service's targets were cold, and their rate was met"},
	{is_class_limit,
	 "the service was short of room, and other classes came first"},
	{is_caller_share,
	 "the service was short of room, and the caller had its share"},
	{is_tag_unknown, "the node did not know the flow's target"},
	{is_opening_stale,
	 "an opening packet was handled too late, as another node may have had "
	 "the flow by then"},
	{is_restart, "the node that carried the flow restarted"},
	{is_target_lost, "the flow's target or its zone could not be reached"},
	{is_opening_unanswered, "a target did not answer the opening packet"},
	{is_moved_by_evacuation,
	 "the zone of its first target was evacuated while the flow opened"},
	{is_target_removed,
	 "the target's entry was removed while the flow was open"},
	{is_target_avoided,
	 "the target or its zone did not answer opening packets"},
	{is_target_full, "all targets were full, so the flow waited at one"},
	{is_reset_by_caller, "the caller reset the flow"},
	{is_update_stale, "the node had received no updates for a minute"},
	{is_flow_closed, "the target was slow"},
};

/* Finds the first line with the request id or the caller's address. */
static void find_flow(struct flow_trace *trace, const char *id,
		      const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len && !trace->caller; i++) {
		const struct log_line *line = g_ptr_array_index(lines, i);

		if (!field_equals(line, "id", id) &&
		    !field_equals(line, "caller", id))
			continue;
		trace->caller = g_strdup(log_line_field(line, "caller"));
		trace->service = g_strdup(log_line_field(line, "service"));
	}
}

static bool is_flow_line(const struct flow_trace *trace,
			 const struct log_line *line)
{
	return field_equals(line, "caller", trace->caller) &&
	       field_equals(line, "service", trace->service);
}

static void record_flow_line(struct flow_trace *trace,
			     const struct log_line *line)
{
	const char *target = log_line_field(line, "target");
	double time_s = log_line_time_s(line);

	if (target && strcmp(target, "0") != 0)
		g_hash_table_add(trace->targets, g_strdup(target));
	if (g_hash_table_size(trace->sources) == 0) {
		trace->first_s = time_s;
		trace->last_s = time_s;
	}
	g_hash_table_add(trace->sources, g_strdup(log_line_source(line)));
	trace->first_s = MIN(trace->first_s, time_s);
	trace->last_s = MAX(trace->last_s, time_s);
}

static void record_flow_lines(struct flow_trace *trace, const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line = g_ptr_array_index(lines, i);

		if (is_flow_line(trace, line))
			record_flow_line(trace, line);
	}
}

/*
 * Returns whether a line is about the entry or health of one of the flow's
 * targets, on a node that carried the flow, within EVENT_WINDOW_S of the flow.
 */
static bool is_target_line(const struct flow_trace *trace,
			   const struct log_line *line)
{
	const char *event = log_line_event(line);
	const char *target = log_line_field(line, "target");
	double time_s = log_line_time_s(line);

	return target &&
	       (strcmp(event, "target") == 0 ||
		strcmp(event, "avoided") == 0) &&
	       g_hash_table_contains(trace->targets, target) &&
	       g_hash_table_contains(trace->sources, log_line_source(line)) &&
	       time_s >= trace->first_s - EVENT_WINDOW_S &&
	       time_s <= trace->last_s + EVENT_WINDOW_S;
}

/* Compares the NODE of two sources "NODE PROCESS[PID]" of collected logs. */
static gboolean is_same_node(gpointer a, gpointer b, gpointer source)
{
	size_t length = strcspn(source, " ");

	return strncmp(a, source, length + 1) == 0;
}

/* Returns whether a flow's node started within EVENT_WINDOW_S after it. */
static bool is_restart_after_flow(const struct flow_trace *trace,
				  const struct log_line *line)
{
	double time_s = log_line_time_s(line);
	const char *source = log_line_source(line);

	return strcmp(log_line_event(line), "started") == 0 &&
	       time_s > trace->last_s &&
	       time_s <= trace->last_s + EVENT_WINDOW_S &&
	       strchr(source, '[') > strchr(source, ' ') &&
	       g_hash_table_find(trace->sources, is_same_node,
				 (gpointer)source) != NULL;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	double left_s = log_line_time_s(*(const struct log_line *const *)a);
	double right_s = log_line_time_s(*(const struct log_line *const *)b);

	return left_s < right_s ? -1 : left_s > right_s ? 1 : 0;
}

static void collect_lines(struct flow_trace *trace, const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		struct log_line *line = g_ptr_array_index(lines, i);

		if (is_flow_line(trace, line) || is_target_line(trace, line) ||
		    is_restart_after_flow(trace, line))
			g_ptr_array_add(trace->lines, line);
	}
	g_ptr_array_sort(trace->lines, compare_times);
}

static void find_cause(struct flow_trace *trace)
{
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		for (guint j = 0; j < trace->lines->len; j++) {
			const struct log_line *line =
				g_ptr_array_index(trace->lines, j);

			if (!causes[i].matches(line))
				continue;
			trace->cause_line = line;
			trace->cause = causes[i].cause;
			return;
		}
	}
}

/*
 * Collects the lines of the flow with this request id or caller address. lines
 * holds struct log_line and must outlive the trace. Free the trace with
 * flow_trace_free.
 */
struct flow_trace *flow_trace_new(const char *id, const GPtrArray *lines)
{
	struct flow_trace *trace = g_new0(struct flow_trace, 1);

	trace->lines = g_ptr_array_new();
	trace->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	trace->sources =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	find_flow(trace, id, lines);
	if (!trace->caller)
		return trace;
	record_flow_lines(trace, lines);
	collect_lines(trace, lines);
	find_cause(trace);
	return trace;
}

/* Frees a trace; NULL is allowed. */
void flow_trace_free(struct flow_trace *trace)
{
	if (!trace)
		return;
	g_ptr_array_free(trace->lines, TRUE);
	g_hash_table_destroy(trace->targets);
	g_hash_table_destroy(trace->sources);
	g_free(trace->caller);
	g_free(trace->service);
	g_free(trace);
}

/* Returns the flow's lines, struct log_line, sorted by time. */
const GPtrArray *flow_trace_lines(const struct flow_trace *trace)
{
	return trace->lines;
}

/* Returns the line that shows the cause, or NULL. */
const struct log_line *flow_trace_cause_line(const struct flow_trace *trace)
{
	return trace->cause_line;
}

/* Returns a short description of the cause, or NULL. */
const char *flow_trace_cause(const struct flow_trace *trace)
{
	return trace->cause;
}
