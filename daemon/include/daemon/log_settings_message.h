#ifndef DAEMON_LOG_SETTINGS_MESSAGE_H
#define DAEMON_LOG_SETTINGS_MESSAGE_H

#include <task/log.h>
#include <task/message.h>

/* Changes the level and rate limit of a task's log. */
struct log_settings_message {
	struct message message;
	enum log_level level;
	uint32_t rate_per_s;
};

extern const struct message_type log_settings_message_type;

struct message *log_settings_message_new(enum log_level level,
					 uint32_t rate_per_s);
void log_settings_message_apply(const struct log_settings_message *settings,
				struct log *log);

#endif
