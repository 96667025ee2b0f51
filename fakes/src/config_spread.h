#ifndef CONFIG_SPREAD_H
#define CONFIG_SPREAD_H

#include <stdint.h>

/* How long each change takes until the last node has it. */
struct config_spread;

struct config_spread *config_spread_new(uint32_t node_count);
void config_spread_free(struct config_spread *spread);
void config_spread_add(struct config_spread *spread, uint64_t revision,
		       int64_t now_ms);
void config_spread_reached(struct config_spread *spread, uint64_t from_revision,
			   uint64_t to_revision, int64_t now_ms);
void config_spread_postpone(struct config_spread *spread, int64_t now_ms);
uint64_t config_spread_done_count(const struct config_spread *spread);
int64_t config_spread_max_ms(const struct config_spread *spread);

#endif
