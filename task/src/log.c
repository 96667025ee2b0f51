#include <task/log.h>

#include <glib.h>
#include <inttypes.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <task/task.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024
#define RATE_WINDOW_MS 1000

struct log {
	struct log_options options;
	int64_t window_start_ms;
	uint32_t window_line_count;
	uint64_t dropped_count;
	uint64_t reported_dropped_count;
};

static const char *const level_names[] = {
	[LOG_LEVEL_ERROR] = "err",     [LOG_LEVEL_WARNING] = "warning",
	[LOG_LEVEL_NOTICE] = "notice", [LOG_LEVEL_INFO] = "info",
	[LOG_LEVEL_DEBUG] = "debug",
};

/* Creates a log; the strings in options must outlive it. */
struct log *log_new(const struct log_options *options)
{
	struct log *log = g_new0(struct log, 1);

	log->options = *options;
	return log;
}

/* Frees a log; NULL is allowed. */
void log_free(struct log *log)
{
	g_free(log);
}

/*
 * A pipe that polls as writable accepts PIPE_BUF bytes without blocking, which
 * is enough for one line of each task.
 */
static bool is_writable(const struct log *log)
{
	struct pollfd state = {.fd = log->options.fd, .events = POLLOUT};

	return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT);
}

/* Writes a line with a single call, so that the lines of tasks do not mix. */
static void write_line(struct log *log, enum log_level level, const char *event,
		       const char *fields)
{
	char line[LINE_BYTES];
	char timestamp[32];
	time_t now = time(NULL);
	struct tm utc;
	int length;
	ssize_t written;

	if (!is_writable(log)) {
		log->dropped_count++;
		return;
	}
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%SZ",
		 gmtime_r(&now, &utc));
	length = snprintf(line, sizeof(line), "%s %s[%d] %s %s: %s%s%s\n",
			  timestamp, log->options.program, (int)getpid(),
			  level_names[level], log->options.task, event,
			  *fields ? " " : "", fields);
	if (length >= LINE_BYTES) {
		length = LINE_BYTES - 1;
		line[length - 1] = '\n';
	}
	written = write(log->options.fd, line, (size_t)length);
	(void)written;
}

static bool is_within_rate(struct log *log)
{
	int64_t now_ms = task_now_ms();

	if (now_ms - log->window_start_ms >= RATE_WINDOW_MS) {
		log->window_start_ms = now_ms;
		log->window_line_count = 0;
	}
	if (log->window_line_count >= log->options.rate_per_s) {
		log->dropped_count++;
		return false;
	}
	log->window_line_count++;
	return true;
}

static void report_dropped_lines(struct log *log)
{
	char fields[48];

	if (log->dropped_count == log->reported_dropped_count)
		return;
	if (!is_writable(log))
		return;
	snprintf(fields, sizeof(fields), "count=%" PRIu64,
		 log->dropped_count - log->reported_dropped_count);
	log->reported_dropped_count = log->dropped_count;
	write_line(log, LOG_LEVEL_WARNING, "lines_left_out", fields);
}

/*
 * Writes a line of key=value fields. The rate limit does not apply to warnings
 * and errors; other lines that exceed it are dropped and counted. Fields
 * must not contain data that a caller sent.
 */
void log_write(struct log *log, enum log_level level, const char *event,
	       const char *format, ...)
{
	char fields[LINE_BYTES];
	va_list args;

	if (level > log->options.level)
		return;
	if (level > LOG_LEVEL_WARNING && !is_within_rate(log))
		return;
	report_dropped_lines(log);
	va_start(args, format);
	vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	write_line(log, level, event, fields);
}

/* Sets the level and rate; must be called by the task that owns the log. */
void log_configure(struct log *log, enum log_level level, uint32_t rate_per_s)
{
	log->options.level = level;
	log->options.rate_per_s = rate_per_s;
}

/*
 * Returns the number of lines dropped so far because they exceeded the rate or
 * would have blocked.
 */
uint64_t log_dropped_count(const struct log *log)
{
	return log->dropped_count;
}
