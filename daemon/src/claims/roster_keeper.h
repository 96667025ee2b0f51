#ifndef ROSTER_KEEPER_H
#define ROSTER_KEEPER_H

#include <core/node_view.h>
#include <core/roster.h>
#include <platform/kv_client.h>

/*
 * Reads a region's roster from the store and, where this node leads, replaces
 * it. The writer holds a lease, so that nodes rarely collide, and compares
 * with what it read, so that one which was paused for longer than its lease
 * undoes nothing.
 */
struct roster_keeper;

/* The client must outlive it; the texts are copied. */
struct roster_keeper_options {
	struct kv_client *client;
	const char *key;
	const char *lease_key;
	void *context;
	void (*on_roster)(void *context, const struct roster *roster);
	void (*on_failed)(void *context, const char *reason);
};

/*
 * Whether this node reads, as watchers do, and whether it may write. held is
 * the roster of the highest epoch that any peer has told of.
 */
struct roster_keeper_view {
	bool is_reader;
	bool is_writer;
	const struct node_view *nodes;
	const struct roster *held;
};

struct roster_keeper *
roster_keeper_new(const struct roster_keeper_options *options);
void roster_keeper_free(struct roster_keeper *keeper);
void roster_keeper_tick(struct roster_keeper *keeper,
			const struct roster_keeper_view *view, int64_t now_ms);
bool roster_keeper_is_idle(const struct roster_keeper *keeper);

#endif
