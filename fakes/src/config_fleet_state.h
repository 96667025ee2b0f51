#ifndef CONFIG_FLEET_STATE_H
#define CONFIG_FLEET_STATE_H

#include <fakes/config_fleet.h>

#include "config_propagation.h"

#include <core/rules_sync.h>

#define CONFIG_FLEET_STORE_DELAY_MS 3
#define CONFIG_FLEET_PPM_MAX 1000000

/*
 * One simulated node. last_generations maps a service id to the generation of
 * its rule that was last in force; it must never decrease.
 */
struct config_node {
	struct config_fleet *fleet;
	uint32_t index;
	uint64_t features;
	struct rules_gossip *gossip;
	GHashTable *last_generations;
	uint64_t revision;
	bool is_watching;
	bool is_store_cut;
	bool is_paused;
};

/* One simulated operator; verdicts maps line names to the last verdicts. */
struct config_operator {
	struct config_fleet *fleet;
	uint32_t index;
	struct rules_sync *sync;
	GHashTable *verdicts;
};

/*
 * accepted_generations maps the name of each accepted line to its generation.
 * seen_texts is the set of all texts that lines have had, as "name text".
 */
struct config_fleet {
	struct config_fleet_options options;
	struct driver *driver;
	struct config_node *nodes;
	struct config_operator *operators;
	struct rules_document *store;
	struct rules_document *snapshot;
	int64_t mod_revision;
	int64_t snapshot_mod_revision;
	bool is_store_up;
	bool is_watch_stalled;
	struct config_propagation *propagation;
	GHashTable *accepted_generations;
	GHashTable *seen_texts;
	struct config_fleet_result results;
};

/*
 * A pending call to the store; index is that of the node or the operator that
 * makes it, and document is what it reads or writes.
 */
struct store_call {
	struct config_fleet *fleet;
	uint32_t index;
	struct rules_document *document;
	int64_t mod_revision;
	bool is_response_lost;
};

struct store_call *store_call_new(struct config_fleet *fleet, uint32_t index);
void store_call_free(struct store_call *call);
int64_t config_fleet_now_ms(const struct config_fleet *fleet);
bool config_fleet_draw_ppm(struct config_fleet *fleet, uint32_t ppm);
uint64_t config_fleet_node_id(uint32_t index);
void config_fleet_send_document(struct config_fleet *fleet, uint32_t index);
bool config_fleet_write_store(struct config_fleet *fleet,
			      const struct rules_document *document,
			      int64_t mod_revision, bool is_operator);
void config_node_start(struct config_fleet *fleet, uint32_t index);
void config_node_restart(struct config_fleet *fleet, uint32_t index);
void config_node_set_view(struct config_fleet *fleet, uint32_t index);
void config_operator_start(struct config_fleet *fleet, uint32_t index);

#endif
