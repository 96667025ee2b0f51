#ifndef TASK_LOG_H
#define TASK_LOG_H

#include <stdint.h>

/* The severity levels of RFC 5424 that are used here. */
enum log_level {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
};

/*
 * The log of one task. It writes lines to a file descriptor without ever
 * blocking. At most rate_per_s lines less severe than a warning are written
 * per second. Lines that exceed the rate or would block are dropped and
 * counted; the count is logged before the next line that can be written.
 */
struct log;

struct log_options {
	const char *program;
	const char *task;
	enum log_level level;
	uint32_t rate_per_s;
	int fd;
};

struct log *log_new(const struct log_options *options);
void log_free(struct log *log);
void log_write(struct log *log, enum log_level level, const char *event,
	       const char *format, ...) __attribute__((format(printf, 4, 5)));
void log_configure(struct log *log, enum log_level level, uint32_t rate_per_s);
uint64_t log_dropped_count(const struct log *log);

#endif
