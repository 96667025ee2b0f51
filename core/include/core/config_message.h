#ifndef CORE_CONFIG_MESSAGE_H
#define CORE_CONFIG_MESSAGE_H

#include <core/roster.h>
#include <core/rules_line.h>

/*
 * CONFIG_DIGEST says what a node holds, CONFIG_PULL asks for what is newer
 * than since, CONFIG_DELTA brings lines and CONFIG_ROSTER the roster.
 */
enum config_kind {
	CONFIG_DIGEST,
	CONFIG_PULL,
	CONFIG_DELTA,
	CONFIG_ROSTER,
	CONFIG_KIND_COUNT,
};

/*
 * A message between nodes about the configuration. Every kind says what the
 * sender holds, and how long ago anyone it heard of has read the store.
 * is_known is false while the sender itself has heard of no configuration.
 * Only a delta has lines and only CONFIG_ROSTER has a roster, which the message
 * owns.
 */
struct config_message {
	enum config_kind kind;
	uint64_t revision;
	uint64_t digest;
	uint64_t roster_epoch;
	uint32_t store_age_ms;
	uint32_t held_count;
	bool is_known;
	bool wants_reply;
	uint64_t since;
	GPtrArray *lines;
	struct roster *roster;
};

struct config_message *config_message_new(enum config_kind kind);
struct config_message *
config_message_copy(const struct config_message *message);
void config_message_free(struct config_message *message);

#endif
