#include <daemon/task_log.h>

#include <unistd.h>

/*
 * Makes the log of one of the daemon's tasks, on standard output, with the
 * level and rate of the settings; free it with log_free.
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
