#ifndef DAEMON_TASK_LOG_H
#define DAEMON_TASK_LOG_H

#include <daemon/settings.h>
#include <task/log.h>

struct log *task_log_new(const struct settings *settings, const char *task);

#endif
