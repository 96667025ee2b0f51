#ifndef FLEET_STATUS_H
#define FLEET_STATUS_H

#include <core/config_report.h>
#include <glib.h>
#include <wire/kv_reply.h>

/* The configuration state of all nodes, as reported in the store. */
struct fleet_status;

struct fleet_status *fleet_status_new(const struct kv_reply *reply);
void fleet_status_free(struct fleet_status *status);
uint32_t fleet_status_count(const struct fleet_status *status);
const struct config_report *fleet_status_at(const struct fleet_status *status,
					    uint32_t index);
const char *fleet_status_zone(const struct fleet_status *status,
			      uint32_t index);
uint32_t fleet_status_in_force_count(const struct fleet_status *status,
				     uint64_t generation, uint32_t form);

#endif
