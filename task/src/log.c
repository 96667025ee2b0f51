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
	uint32_t window_count;
	uint64_t left_out_count;
	uint64_t left_out_reported;
};

static const char *const level_names[] = {
	[LOG_LEVEL_ERROR] = "err",     [LOG_LEVEL_WARNING] = "warning",
	[LOG_LEVEL_NOTICE] = "notice", [LOG_LEVEL_INFO] = "info",
	[LOG_LEVEL_DEBUG] = "debug",
};

/* Makes a log; the names in the options must outlive it. */
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
 * A pipe that is writable takes PIPE_BUF bytes without waiting, which is more
 * than one line of each task.
 */
static bool is_writable(const struct log *log)
{
	struct pollfd state = {.fd = log->options.fd, .events = POLLOUT};

	return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT);
}

/* Writes one whole line with one call, so that lines do not mix. */
static void emit(struct log *log, enum log_level level, const char *event,
		 const char *fields)
{
	char line[LINE_BYTES];
	char stamp[32];
	time_t now = time(NULL);
	struct tm parts;
	int length;
	ssize_t written;

	if (!is_writable(log)) {
		log->left_out_count++;
		return;
	}
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%SZ",
		 gmtime_r(&now, &parts));
	length = snprintf(line, sizeof(line), "%s %s[%d] %s %s: %s%s%s\n",
			  stamp, log->options.program, (int)getpid(),
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
		log->window_count = 0;
	}
	if (log->window_count >= log->options.rate_per_s) {
		log->left_out_count++;
		return false;
	}
	log->window_count++;
	return true;
}

static void report_left_out(struct log *log)
{
	char fields[48];

	if (log->left_out_count == log->left_out_reported)
		return;
	if (!is_writable(log))
		return;
	snprintf(fields, sizeof(fields), "count=%" PRIu64,
		 log->left_out_count - log->left_out_reported);
	log->left_out_reported = log->left_out_count;
	emit(log, LOG_LEVEL_WARNING, "lines_left_out", fields);
}

/*
 * Writes a line of key=value fields. Warnings and errors pass the rate limit;
 * the others are left out and counted beyond it. Never hand in what a caller
 * sent.
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
	report_left_out(log);
	va_start(args, format);
	vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	emit(log, level, event, fields);
}

/* Changes level and rate; call it in the task that owns the log. */
void log_configure(struct log *log, enum log_level level, uint32_t rate_per_s)
{
	log->options.level = level;
	log->options.rate_per_s = rate_per_s;
}

/* Returns how many lines the rate limit has left out so far. */
uint64_t log_left_out_count(const struct log *log)
{
	return log->left_out_count;
}
