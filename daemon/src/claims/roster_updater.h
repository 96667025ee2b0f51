#ifndef ROSTER_UPDATER_H
#define ROSTER_UPDATER_H

#include <core/node_view.h>
#include <core/roster.h>
#include <platform/kv_client.h>

/*
 * Reads a region's roster from the store and, if this node may write, replaces
 * it. A writer holds a lock, so that concurrent writes are rare, and writes by
 * compare-and-swap on the revision that it read, so that a writer which was
 * paused until its lease expired overwrites nothing.
 */
struct roster_updater;

/*
 * key is the key of the roster, lease_key that of the lock, an entry attached
 * to the writer's lease. The client must outlive the updater; the keys are
 * copied. on_roster is called for each roster read or written, on_failed for a
 * failed call or an invalid roster.
 */
struct roster_updater_options {
	struct kv_client *client;
	const char *key;
	const char *lease_key;
	void *context;
	void (*on_roster)(void *context, const struct roster *roster);
	void (*on_failed)(void *context, const char *reason);
};

/*
 * is_reader: this node is one of its zone's watchers of the store and reads the
 * roster. is_writer: it may also replace the roster. nodes is the node's view,
 * or NULL if it has none yet; then a tick does nothing. current is the roster
 * of the highest epoch that the node has received.
 */
struct roster_updater_inputs {
	bool is_reader;
	bool is_writer;
	const struct node_view *nodes;
	const struct roster *current;
};

struct roster_updater *
roster_updater_new(const struct roster_updater_options *options);
void roster_updater_free(struct roster_updater *updater);
void roster_updater_tick(struct roster_updater *updater,
			 const struct roster_updater_inputs *inputs,
			 int64_t now_ms);
bool roster_updater_is_idle(const struct roster_updater *updater);

#endif
