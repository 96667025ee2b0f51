#include <daemon/log_settings_message.h>

#include <glib.h>

static void log_settings_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type log_settings_message_type = {
	"log_settings", log_settings_message_free};

/* Creates the message; the mailbox that accepts it takes ownership. */
struct message *log_settings_message_new(enum log_level level,
					 uint32_t rate_per_s)
{
	struct log_settings_message *settings =
		g_new0(struct log_settings_message, 1);

	settings->message.type = &log_settings_message_type;
	settings->level = level;
	settings->rate_per_s = rate_per_s;
	return &settings->message;
}

/* Applies the level and rate limit of the message to a log. */
void log_settings_message_apply(const struct log_settings_message *settings,
				struct log *log)
{
	log_configure(log, settings->level, settings->rate_per_s);
}
