#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include "node_settings.h"
#include "soak_evacuations.h"
#include "soak_hosts.h"
#include "soak_nodes.h"
#include "soak_routes.h"
#include "soak_store.h"

#include <soak/soak_run.h>

#define SOAK_CALLER_COUNT SOAK_ZONE_COUNT

/* The parts of a run: nodes, hosts, callers, the store and the checker. */
struct soak_fleet {
	struct soak_options options;
	struct soak_timers *timers;
	struct checker_task *checker;
	struct endpoint *node_addresses;
	struct caller_node *caller_nodes;
	struct faulty_node *faulty_node;
	struct soak_store *store;
	struct soak_hosts *hosts;
	struct soak_evacuations *evacuations;
	struct soak_routes *routes;
	struct soak_nodes *nodes;
	struct fake_caller *callers[SOAK_CALLER_COUNT];
	uint32_t *loss_depths;
};

struct soak_fleet *soak_fleet_new(const struct soak_options *options,
				  GError **error);
void soak_fleet_free(struct soak_fleet *fleet);
bool soak_fleet_start_callers(struct soak_fleet *fleet, GError **error);
void soak_fleet_finish_callers(struct soak_fleet *fleet);

#endif
