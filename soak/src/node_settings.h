#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_ZONE_COUNT 2

/* The drain timeout in the nodes' settings. */
#define NODE_DRAIN_TIMEOUT_MS 5000

/* Zones and settings files of the nodes of a run. */
const char *node_settings_zone(uint32_t node);
bool node_settings_write(const char *path, uint32_t node, uint32_t node_count,
			 uint32_t log_rate_per_s, GError **error);

#endif
