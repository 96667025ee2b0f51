#ifndef CORE_RULES_GOSSIP_H
#define CORE_RULES_GOSSIP_H

#include <core/config_message.h>
#include <core/config_report.h>
#include <core/node_view.h>
#include <core/rules_replica.h>

/*
 * One node's part in propagating the configuration. Two nodes of each zone,
 * chosen by rendezvous hashing, watch the store; the highest-ranked one is also
 * the zone's reporter. A node announces a change by sending digests to a few
 * peers, which pull the lines that they lack; periodic digests to a random peer
 * make up for lost messages (anti-entropy). A node that learns of no recent
 * read of the store reads the store itself.
 */
struct rules_gossip;

/*
 * Callbacks:
 * - send takes ownership of the message.
 * - read_store requests one read of the store.
 * - watch_store starts or stops this node's watch on the store.
 * - repair_store requests that the replica be written to the store, which has
 *   lost some of the replica's lines.
 * - rules_changed passes the new rules in force.
 * - publish_reports requests that this node, the zone's reporter, publish the
 *   zone's updated reports.
 * - roster_changed passes a roster of a later epoch.
 */
struct rules_gossip_options {
	uint64_t self_id;
	uint32_t zone_id;
	uint32_t seed;
	uint64_t features;
	void *context;
	void (*send)(void *context, uint64_t node_id,
		     struct config_message *message);
	void (*read_store)(void *context);
	void (*watch_store)(void *context, bool is_wanted);
	void (*repair_store)(void *context);
	void (*rules_changed)(void *context, const struct rule_set *rules);
	void (*publish_reports)(void *context);
	void (*roster_changed)(void *context, const struct roster *roster);
};

struct rules_gossip *
rules_gossip_new(const struct rules_gossip_options *options);
void rules_gossip_free(struct rules_gossip *gossip);
void rules_gossip_set_nodes(struct rules_gossip *gossip,
			    const struct node_view *view, int64_t now_ms);
void rules_gossip_handle_message(struct rules_gossip *gossip, uint64_t node_id,
				 const struct config_message *message,
				 int64_t now_ms);
void rules_gossip_handle_document(struct rules_gossip *gossip,
				  const struct rules_document *document,
				  int64_t now_ms);
void rules_gossip_handle_roster(struct rules_gossip *gossip,
				const struct roster *roster, int64_t now_ms);
void rules_gossip_tick(struct rules_gossip *gossip, int64_t now_ms);
bool rules_gossip_is_config_known(const struct rules_gossip *gossip);
bool rules_gossip_is_watcher(const struct rules_gossip *gossip);
bool rules_gossip_is_reporter(const struct rules_gossip *gossip);
const struct roster *rules_gossip_roster(const struct rules_gossip *gossip);
const struct rules_replica *
rules_gossip_replica(const struct rules_gossip *gossip);
GArray *rules_gossip_reports(const struct rules_gossip *gossip);

#endif
