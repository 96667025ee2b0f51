#ifndef SOAK_HOST_H
#define SOAK_HOST_H

#include "node_settings.h"
#include "soak_hosts.h"

#include <fakes/fake_host.h>

/* One start of a host; a restart adds another soak_host. */
struct soak_host {
	uint32_t index;
	uint64_t host_id;
	uint64_t born_ms;
	uint32_t service;
	struct endpoint endpoint;
	struct fake_host *fake;
	bool is_draining;
	bool is_replaced;
	/* Another writer's entry is in place of the host's own one. */
	bool is_entry_foreign;
};

/*
 * All starts of hosts, also of those that have stopped. next_address_index is
 * that of the next host that gets a new address; is_evacuated is by zone.
 */
struct soak_hosts {
	struct soak_hosts_options options;
	GPtrArray *hosts;
	uint32_t next_address_index;
	bool is_evacuated[SOAK_ZONE_COUNT];
};

struct soak_host *soak_hosts_at(const struct soak_hosts *hosts, uint32_t index);
uint32_t soak_host_zone(const struct soak_host *host);
bool soak_hosts_has_other_usable(const struct soak_hosts *hosts,
				 const struct soak_host *host);
struct soak_host *soak_hosts_pick(const struct soak_hosts *hosts,
				  uint32_t subject);

#endif
