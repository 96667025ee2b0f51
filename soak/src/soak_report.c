#include "soak_report.h"

#include <inttypes.h>

/* Sizes in SVG user units. */
#define SECOND_WIDTH 14
#define BARS_HEIGHT 160
#define ROW_HEIGHT 12
#define MARGIN 150
#define MS_PER_S 1000

static uint32_t max_requests_per_s(const struct soak_tally *tally)
{
	uint32_t largest = 1;

	for (uint32_t i = 0; i < soak_tally_second_count(tally); i++) {
		struct soak_second second = soak_tally_second(tally, i);

		largest = MAX(largest,
			      second.answered_count + second.failed_count);
	}
	return largest;
}

static void add_bar(GString *page, uint32_t second, double bottom_y,
		    double height, const char *colour)
{
	g_string_append_printf(
		page,
		"<rect x='%u' y='%.1f' width='%d' height='%.1f' fill='%s'/>\n",
		MARGIN + second * SECOND_WIDTH, bottom_y - height,
		SECOND_WIDTH - 2, height, colour);
}

static void add_bars(GString *page, const struct soak_tally *tally)
{
	double scale = (double)BARS_HEIGHT / max_requests_per_s(tally);

	for (uint32_t i = 0; i < soak_tally_second_count(tally); i++) {
		struct soak_second second = soak_tally_second(tally, i);
		double answered = second.answered_count * scale;

		add_bar(page, i, BARS_HEIGHT, answered, "#4a8");
		add_bar(page, i, BARS_HEIGHT - answered,
			second.failed_count * scale, "#c33");
	}
}

static void add_fault(GString *page, const struct soak_fault *fault,
		      uint32_t row)
{
	uint32_t y = BARS_HEIGHT + (row + 2) * ROW_HEIGHT;
	double x = MARGIN + (double)fault->at_ms * SECOND_WIDTH / MS_PER_S;
	double width =
		MAX(2, (double)fault->duration_ms * SECOND_WIDTH / MS_PER_S);

	g_string_append_printf(page,
			       "<text x='0' y='%u' font-size='10'>%s %u</text>"
			       "<rect x='%.1f' y='%u' width='%.1f' height='%d' "
			       "fill='#88a'/>\n",
			       y, soak_fault_spec(fault->kind)->name,
			       fault->subject, x, y - ROW_HEIGHT + 4, width,
			       ROW_HEIGHT - 4);
}

static void add_chart(GString *page, const struct soak_schedule *schedule,
		      const struct soak_tally *tally)
{
	uint32_t row_count = soak_schedule_count(schedule);

	g_string_append_printf(
		page,
		"<svg xmlns='http://www.w3.org/2000/svg' width='%u' "
		"height='%u'>\n",
		MARGIN + soak_tally_second_count(tally) * SECOND_WIDTH,
		BARS_HEIGHT + (row_count + 3) * ROW_HEIGHT);
	add_bars(page, tally);
	for (uint32_t i = 0; i < row_count; i++)
		add_fault(page, soak_schedule_at(schedule, i), i);
	g_string_append(page, "</svg>\n");
}

static void add_counts(GString *page, const struct soak_tally *tally)
{
	g_string_append(page, "<table>\n");
	for (int i = 0; i < FLOW_EVENT_KIND_COUNT; i++)
		g_string_append_printf(
			page, "<tr><td>%s</td><td>%" PRIu64 "</td></tr>\n",
			flow_event_name((enum flow_event_kind)i),
			soak_tally_flow_event_count(tally,
						    (enum flow_event_kind)i));
	g_string_append(page, "</table>\n");
}

static void add_violation_lines(GString *page, const struct soak_tally *tally)
{
	const GPtrArray *lines = soak_tally_violation_lines(tally);

	g_string_append_printf(page, "<p>Violations: %u</p>\n<pre>\n",
			       soak_tally_violation_sum(tally));
	for (uint32_t i = 0; i < lines->len; i++)
		g_string_append_printf(
			page, "%s\n",
			(const char *)g_ptr_array_index(lines, i));
	g_string_append(page, "</pre>\n");
}

static bool write_page(const struct soak_options *options, const GString *page,
		       GError **error)
{
	char *path = g_build_filename(options->directory, "report.html", NULL);
	bool is_written =
		g_file_set_contents(path, page->str, (gssize)page->len, error);

	g_free(path);
	return is_written;
}

static bool write_schedule(const struct soak_options *options,
			   const struct soak_schedule *schedule, GError **error)
{
	char *path = g_build_filename(options->directory, "schedule", NULL);
	char *text = soak_schedule_text(schedule);
	bool is_written = g_file_set_contents(path, text, -1, error);

	g_free(text);
	g_free(path);
	return is_written;
}

/*
 * Writes the schedule, and an HTML page that shows its faults together with the
 * requests per second and the violations. Fails with G_FILE_ERROR.
 */
bool soak_report_write(const struct soak_options *options,
		       const struct soak_schedule *schedule,
		       const struct soak_tally *tally, GError **error)
{
	GString *page = g_string_new(NULL);
	bool is_written;

	g_string_append_printf(
		page,
		"<!DOCTYPE html>\n<meta charset='utf-8'>\n"
		"<title>Soak, seed %" PRIu64 "</title>\n"
		"<h1>Soak, seed %" PRIu64 ", %u nodes</h1>\n"
		"<p>Requests answered (green) and failed (red) by second, and "
		"the faults below.</p>\n",
		options->seed, options->seed, options->node_count);
	add_chart(page, schedule, tally);
	add_violation_lines(page, tally);
	add_counts(page, tally);
	is_written = write_schedule(options, schedule, error) &&
		     write_page(options, page, error);
	g_string_free(page, TRUE);
	return is_written;
}
