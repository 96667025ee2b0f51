#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

#include "relay_counters.h"
#include "relay_times.h"

#include <core/relay_director.h>
#include <core/relay_peer.h>
#include <daemon/settings.h>
#include <task/task.h>

/*
 * What a relay task exchanges with other nodes: its open flows for each
 * target, and flows that have come to it. on_stranger gets the address of a
 * node that the store has not listed here.
 */
struct relay_peers;

struct relay_peers_options {
	const struct settings *settings;
	struct relay_director *director;
	struct counter_set *counters;
	struct histogram_set *times;
	void *context;
	void (*on_stranger)(void *context, const struct endpoint *from);
};

struct relay_peers *relay_peers_new(struct task *task,
				    const struct relay_peers_options *options,
				    GError **error);
void relay_peers_free(struct relay_peers *peers);
void relay_peers_set(struct relay_peers *peers, const GArray *list);
void relay_peers_flow_moved(struct relay_peers *peers, struct hash128 print);
void relay_peers_tick(struct relay_peers *peers, int64_t now_ms);

#endif
