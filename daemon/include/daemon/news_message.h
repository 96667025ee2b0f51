#ifndef DAEMON_NEWS_MESSAGE_H
#define DAEMON_NEWS_MESSAGE_H

#include <core/relay_route_table.h>
#include <core/target.h>
#include <glib.h>
#include <task/message.h>

/* A target that was described anew, or whose entry is gone. */
struct target_change {
	struct target target;
	uint32_t warmup_ms;
	bool is_gone;
};

/*
 * What the store told: changes of targets, in order; whole where they are all
 * there are. routes and peers are NULL where they have not changed; peers are
 * struct relay_peer.
 */
struct news_message {
	struct message message;
	int64_t revision;
	bool is_whole;
	GArray *changes;
	GArray *peers;
	struct relay_route_table *routes;
};

extern const struct message_type news_message_type;

struct news_message *news_message_new(int64_t revision, bool is_whole);

#endif
