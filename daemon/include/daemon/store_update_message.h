#ifndef DAEMON_STORE_UPDATE_MESSAGE_H
#define DAEMON_STORE_UPDATE_MESSAGE_H

#include <core/relay_route_table.h>
#include <core/target.h>
#include <glib.h>
#include <task/message.h>

/*
 * A target whose entry in the store was written or removed. For a removed
 * target only target.target_id is set.
 */
struct target_change {
	struct target target;
	uint32_t warmup_ms;
	bool is_removed;
};

/*
 * Changes read from the store, up to revision. changes contains struct
 * target_change in the order of the store's reply; in a snapshot it lists all
 * targets, so that a target which is missing was removed. peers is the complete
 * list of nodes (struct relay_peer), evacuations the complete list of zones to
 * evacuate (struct zone), routes the new configuration; each is NULL if it has
 * not changed.
 */
struct store_update_message {
	struct message message;
	int64_t revision;
	bool is_snapshot;
	GArray *changes;
	GArray *peers;
	GArray *evacuations;
	struct relay_route_table *routes;
};

extern const struct message_type store_update_message_type;

struct store_update_message *store_update_message_new(int64_t revision,
						      bool is_snapshot);

#endif
