#ifndef CORE_RELAY_ISOLATION_H
#define CORE_RELAY_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides whether a node can serve no new flow while nodes of other zones
 * could: its own zone is evacuated, and all others are cut off from it. Such a
 * node tells the routers that it isn't ready, and they use other zones' nodes
 * once that holds for all nodes of its zone.
 */
struct relay_isolation;

/*
 * What the decision is based on. is_evacuated: the own zone is.
 * usable_zone_count is the number of other zones that have nodes and aren't
 * evacuated. is_silent: nothing has been heard from any other zone for some
 * time; heard_ms is when the last sign of life came. is_leaving: the node
 * drains.
 */
struct relay_isolation_evidence {
	bool is_evacuated;
	bool is_silent;
	bool is_leaving;
	uint32_t usable_zone_count;
	int64_t heard_ms;
};

/* A change and its evidence. failed_count is the number of failed attempts. */
struct relay_isolation_change {
	bool is_isolated;
	uint32_t failed_count;
	struct relay_isolation_evidence evidence;
};

/* start_ms is when the process started. changed may be NULL. */
struct relay_isolation_options {
	int64_t start_ms;
	void *context;
	void (*changed)(void *context,
			const struct relay_isolation_change *change);
};

struct relay_isolation *
relay_isolation_new(const struct relay_isolation_options *options);
void relay_isolation_free(struct relay_isolation *isolation);
void relay_isolation_record_failure(struct relay_isolation *isolation);
void relay_isolation_update(struct relay_isolation *isolation,
			    const struct relay_isolation_evidence *evidence,
			    int64_t now_ms);
bool relay_isolation_is_isolated(const struct relay_isolation *isolation);

#endif
