/*
 * A log drops and counts lines instead of blocking when the reader of its pipe
 * does not read or the rate limit is exceeded. Also tests the buckets of
 * histograms.
 */
#include <fakes/test_main.h>
#include <fcntl.h>
#include <stdbool.h>
#include <string.h>
#include <task/histogram.h>
#include <task/log.h>
#include <unistd.h>

#define LINE_COUNT 20000
#define TEXT_BYTES (1024 * 1024)

/* Lines written to a pipe that nobody reads, and whether any are dropped. */
static const struct {
	const char *name;
	uint32_t line_count;
	uint32_t rate_per_s;
	bool has_dropped_lines;
} rows[] = {
	{"few-lines", 10, 1000, false},
	{"flood-beyond-the-rate", 100, 10, true},
	{"reader-that-is-stuck", LINE_COUNT, LINE_COUNT, true},
};

START_TEST(test_dropped_lines)
{
	int fds[2];
	struct log_options options = {.program = "p",
				      .task = "t",
				      .level = LOG_LEVEL_INFO,
				      .rate_per_s = rows[_i].rate_per_s};
	struct log *log;

	test_row("log", rows[_i].name);
	ck_assert_int_eq(pipe2(fds, O_CLOEXEC), 0);
	options.fd = fds[1];
	log = log_new(&options);
	for (uint32_t i = 0; i < rows[_i].line_count; i++)
		log_write(log, LOG_LEVEL_INFO, "line", "number=%u", i);
	ck_assert_int_eq(log_dropped_count(log) > 0,
			 rows[_i].has_dropped_lines);
	log_free(log);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

/* Once the reader continues, a line reports how many were dropped. */
START_TEST(test_dropped_count_is_logged)
{
	int fds[2];
	struct log_options options = {.program = "p",
				      .task = "t",
				      .level = LOG_LEVEL_INFO,
				      .rate_per_s = LINE_COUNT};
	char *text = g_malloc0(TEXT_BYTES + 1);
	struct log *log;
	ssize_t length;

	test_row("log", "count-of-lines-left-out");
	ck_assert_int_eq(pipe2(fds, O_CLOEXEC), 0);
	options.fd = fds[1];
	log = log_new(&options);
	for (uint32_t i = 0; i < LINE_COUNT / 2; i++)
		log_write(log, LOG_LEVEL_INFO, "line", "number=%u", i);
	ck_assert_int_gt(read(fds[0], text, TEXT_BYTES), 0);
	log_write(log, LOG_LEVEL_INFO, "last", "number=1");
	memset(text, 0, TEXT_BYTES);
	length = read(fds[0], text, TEXT_BYTES);
	ck_assert_int_gt(length, 0);
	ck_assert_ptr_nonnull(strstr(text, "lines_left_out count="));
	ck_assert_ptr_nonnull(strstr(text, "last number=1"));
	log_free(log);
	close(fds[0]);
	close(fds[1]);
	g_free(text);
}
END_TEST

/* A value, a bucket that does not count it, and one that does. */
static const struct {
	const char *name;
	uint32_t value_ms;
	const char *lower_bucket;
	const char *matching_bucket;
} histogram_rows[] = {
	{"zero", 0, "", "h_bucket{le=\"1\"} 1\n"},
	{"on-a-bound", 10, "h_bucket{le=\"5\"} 0\n", "h_bucket{le=\"10\"} 1\n"},
	{"above-a-bound", 11, "h_bucket{le=\"10\"} 0\n",
	 "h_bucket{le=\"20\"} 1\n"},
	{"beyond-all", 6000, "h_bucket{le=\"5000\"} 0\n",
	 "h_bucket{le=\"+Inf\"} 1\n"},
};

START_TEST(test_histogram)
{
	struct histogram *histogram = histogram_new("h", "times");
	GString *text = g_string_new(NULL);

	test_row("histogram", histogram_rows[_i].name);
	histogram_add(histogram, histogram_rows[_i].value_ms);
	histogram_render(histogram, text);
	ck_assert_ptr_nonnull(
		strstr(text->str, histogram_rows[_i].lower_bucket));
	ck_assert_ptr_nonnull(
		strstr(text->str, histogram_rows[_i].matching_bucket));
	ck_assert_ptr_nonnull(strstr(text->str, "h_count 1\n"));
	g_string_free(text, TRUE);
	histogram_free(histogram);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("log");
	TCase *tcase = tcase_create("log");

	tcase_add_loop_test(tcase, test_dropped_lines, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_dropped_count_is_logged);
	tcase_add_loop_test(tcase, test_histogram, 0,
			    G_N_ELEMENTS(histogram_rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
