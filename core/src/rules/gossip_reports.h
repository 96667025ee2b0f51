#ifndef GOSSIP_REPORTS_H
#define GOSSIP_REPORTS_H

#include <core/config_message.h>
#include <core/config_report.h>
#include <core/node_view.h>

/* The last reported state of each node of a zone, kept by its reporter. */
struct gossip_reports;

struct gossip_reports *gossip_reports_new(uint32_t zone_id);
void gossip_reports_free(struct gossip_reports *reports);
bool gossip_reports_update(struct gossip_reports *reports, uint64_t node_id,
			   const struct config_message *message);
bool gossip_reports_set_nodes(struct gossip_reports *reports,
			      const struct node_view *view);
GArray *gossip_reports_list(const struct gossip_reports *reports);

#endif
