#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <daemon/platform_settings.h>
#include <daemon/relay_settings.h>
#include <daemon/request_settings.h>

/* The settings of one shallotd, read from YAML; see docs/OPERATIONS.md. */
struct settings {
	char *node_name;
	char *zone;
	char *region;
	struct endpoint listen_packets;
	struct endpoint listen_control;
	struct endpoint listen_requests;
	struct endpoint listen_admin;
	struct endpoint listen_metrics;
	char *rules_file;
	uint32_t log_level;
	uint32_t log_rate_per_s;
	uint32_t drain_timeout_ms;
	uint32_t flow_capacity;
	uint64_t flow_seed;
	char *members_seeds;
	char *members_key_file;
	uint32_t members_interval_ms;
	uint32_t members_bytes_per_s;
	struct request_settings requests;
	struct platform_settings platform;
	struct relay_settings relay;
};

struct settings *settings_read(const char *path, GError **error);
const char *settings_restart_section(const struct settings *running_settings,
				     const struct settings *reloaded_settings);
void settings_free(struct settings *settings);

#endif
