#ifndef ROSTER_UPDATER_H
#define ROSTER_UPDATER_H

#include <core/node_view.h>
#include <core/roster.h>
#include <platform/kv_client.h>

/*
 * Reads a region's roster from the store and, if this node may write, replaces
 * it. A writer holds a lease, so that concurrent writes are rare, and writes by
 * compare-and-swap on the revision that it read, so that a writer which was
 * paused for longer than its lease overwrites nothing.
 */
struct roster_updater;

/*
 * key contains the roster, lease_key is the lock that the writer attaches to
 * its lease. The client must outlive the updater; the strings are copied.
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
 * is_reader: this node reads the roster, as the zone's watchers do. is_writer:
 * it may also replace it. If nodes is NULL, nothing is done. current is the
 * roster of the highest epoch that the node has received.
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
