#ifndef GOSSIP_STATE_H
#define GOSSIP_STATE_H

#include <core/rules_gossip.h>

#include "gossip_clock.h"
#include "gossip_peers.h"
#include "gossip_reports.h"

/*
 * The state of rules_gossip, shared by its source files. known_revision is the
 * highest revision of this node or announced by any peer. is_announcement_due
 * is set while a change has yet to be announced to peers, and is_report_due
 * while changed reports have yet to be published by the zone's reporter.
 */
struct rules_gossip {
	struct rules_gossip_options options;
	struct rules_replica *replica;
	struct gossip_reports *reports;
	struct roster roster;
	struct gossip_clock clock;
	struct gossip_peers *peers;
	GRand *rand;
	uint64_t known_revision;
	bool is_config_known;
	bool is_announcement_due;
	bool is_report_due;
};

const struct rules_document *gossip_document(const struct rules_gossip *gossip);
uint64_t gossip_revision(const struct rules_gossip *gossip);
struct config_message *gossip_new_message(const struct rules_gossip *gossip,
					  enum config_kind kind);
void gossip_send_digest(struct rules_gossip *gossip, uint64_t node_id,
			bool wants_reply);
void gossip_handle_change(struct rules_gossip *gossip, int64_t now_ms);
void gossip_set_config_known(struct rules_gossip *gossip);

#endif
