#ifndef CORE_CONFIG_MESSAGE_H
#define CORE_CONFIG_MESSAGE_H

#include <core/roster.h>
#include <core/rules_line.h>

/*
 * CONFIG_DIGEST announces the sender's revision and digest, CONFIG_PULL
 * requests the lines whose generation is greater than since_revision,
 * CONFIG_DELTA carries lines and CONFIG_ROSTER carries the roster.
 */
enum config_kind {
	CONFIG_DIGEST,
	CONFIG_PULL,
	CONFIG_DELTA,
	CONFIG_ROSTER,
	CONFIG_KIND_COUNT,
};

/*
 * A message between nodes about the configuration. Every kind carries the
 * sender's revision, digest and roster epoch. since_store_read_ms is the time
 * since the latest store read, by any node, that the sender knows of. is_known
 * is false while the sender has no configuration yet; held_line_count is the
 * number of lines that it holds back (see rules_replica.h). wants_reply is
 * used by CONFIG_DIGEST only and since_revision by CONFIG_PULL only. Only
 * CONFIG_DELTA has lines and only CONFIG_ROSTER has a roster; the message owns
 * both.
 */
struct config_message {
	enum config_kind kind;
	uint64_t revision;
	uint64_t digest;
	uint64_t roster_epoch;
	uint32_t since_store_read_ms;
	uint32_t held_line_count;
	bool is_known;
	bool wants_reply;
	uint64_t since_revision;
	GPtrArray *lines;
	struct roster *roster;
};

struct config_message *config_message_new(enum config_kind kind);
struct config_message *
config_message_copy(const struct config_message *message);
void config_message_free(struct config_message *message);

#endif
