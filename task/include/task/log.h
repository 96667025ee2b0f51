#ifndef TASK_LOG_H
#define TASK_LOG_H

#include <stdint.h>

/* Levels of RFC 5424, of which these are used. */
enum log_level {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
};

/*
 * A task's own log: lines to a descriptor, at most rate_per_s of them. Writing
 * never waits for a reader. The lines left out, by rate or as the reader was
 * behind, are counted and the count is printed when lines flow again.
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
uint64_t log_left_out_count(const struct log *log);

#endif
