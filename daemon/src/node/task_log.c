#include <daemon/task_log.h>

#include <unistd.h>

/*
 * Creates the log of a task on standard output, with the level and rate limit
 * of the settings. Free it with log_free.
 */
struct log *task_log_new(const struct settings *settings, const char *task)
{
	struct log_options options = {
		.program = "shallotd",
		.task = task,
		.level = (enum log_level)settings->log_level,
		.rate_per_s = settings->log_rate_per_s,
		.fd = STDOUT_FILENO,
	};

	return log_new(&options);
}
