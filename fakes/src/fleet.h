#ifndef FLEET_H
#define FLEET_H

#include <fakes/config_fleet.h>

#include "config_spread.h"

#include <core/rules_sync.h>

#define FLEET_STORE_DELAY_MS 3
#define FLEET_PPM_MAX 1000000

/* One node; floor has the generation of each rule seen in force. */
struct fleet_node {
	struct config_fleet *fleet;
	uint32_t index;
	uint64_t features;
	struct rules_gossip *gossip;
	GHashTable *floor;
	uint64_t revision;
	bool is_watching;
	bool is_cut_off;
	bool is_paused;
};

/* One operator, and the verdicts of the last merge. */
struct fleet_operator {
	struct config_fleet *fleet;
	uint32_t index;
	struct rules_sync *sync;
	GHashTable *verdicts;
};

struct config_fleet {
	struct config_fleet_options options;
	struct driver *driver;
	struct fleet_node *nodes;
	struct fleet_operator *operators;
	struct rules_document *store;
	struct rules_document *snapshot;
	int64_t mod_revision;
	int64_t snapshot_mod_revision;
	bool is_store_up;
	bool is_watch_stalled;
	struct config_spread *spread;
	GHashTable *accepted;
	GHashTable *texts;
	struct config_fleet_count counts;
};

/* A value of the store on its way to or from someone. */
struct store_call {
	struct config_fleet *fleet;
	uint32_t index;
	struct rules_document *document;
	int64_t mod_revision;
	bool is_lost;
};

struct store_call *store_call_new(struct config_fleet *fleet, uint32_t index);
void store_call_free(struct store_call *call);
int64_t fleet_now_ms(const struct config_fleet *fleet);
bool fleet_draw_ppm(struct config_fleet *fleet, uint32_t ppm);
uint64_t fleet_node_id(uint32_t index);
void fleet_serve_node(struct config_fleet *fleet, uint32_t index);
bool fleet_write_store(struct config_fleet *fleet,
		       const struct rules_document *document,
		       int64_t mod_revision, bool is_operator);
void fleet_node_start(struct config_fleet *fleet, uint32_t index);
void fleet_node_restart(struct config_fleet *fleet, uint32_t index);
void fleet_node_set_view(struct config_fleet *fleet, uint32_t index);
void fleet_operator_start(struct config_fleet *fleet, uint32_t index);

#endif
