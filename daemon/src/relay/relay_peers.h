#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

#include "relay_counters.h"
#include "relay_times.h"

#include <core/relay_director.h>
#include <core/relay_message.h>
#include <core/relay_peer.h>
#include <daemon/settings.h>
#include <task/task.h>

/*
 * Exchanges messages with other nodes: load reports, which have the number of
 * open flows at each target, reports of flows taken over from other nodes and
 * of silent zones, and signs of life to the nodes of other zones.
 * on_unknown_peer gets the address of a sender that is not in the list of
 * nodes.
 */
struct relay_peers;

struct relay_peers_options {
	const struct settings *settings;
	struct relay_director *director;
	struct counter_set *counters;
	struct histogram_set *times;
	void *context;
	void (*on_unknown_peer)(void *context, const struct endpoint *from);
};

struct relay_peers *relay_peers_new(struct task *task,
				    const struct relay_peers_options *options,
				    GError **error);
void relay_peers_free(struct relay_peers *peers);
void relay_peers_set(struct relay_peers *peers, const GArray *list);
void relay_peers_queue_moved_flow(struct relay_peers *peers,
				  struct hash128 flow_hash, uint32_t tag);
void relay_peers_send_to_own_zone(struct relay_peers *peers,
				  const struct relay_message *message);
void relay_peers_tick(struct relay_peers *peers, int64_t now_ms);

#endif
