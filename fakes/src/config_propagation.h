#ifndef CONFIG_PROPAGATION_H
#define CONFIG_PROPAGATION_H

#include <stdint.h>

/* Measures the update delay: how long each change takes to reach all nodes. */
struct config_propagation;

struct config_propagation *config_propagation_new(uint32_t node_count);
void config_propagation_free(struct config_propagation *propagation);
void config_propagation_add(struct config_propagation *propagation,
			    uint64_t revision, int64_t now_ms);
void config_propagation_advance(struct config_propagation *propagation,
				uint64_t from_revision, uint64_t to_revision,
				int64_t now_ms);
void config_propagation_restart_timers(struct config_propagation *propagation,
				       int64_t now_ms);
uint64_t
config_propagation_complete_count(const struct config_propagation *propagation);
int64_t config_propagation_max_ms(const struct config_propagation *propagation);

#endif
