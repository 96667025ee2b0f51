#include "soak_host.h"

/* Returns the host at index. */
struct soak_host *soak_hosts_at(const struct soak_hosts *hosts, uint32_t index)
{
	return g_ptr_array_index(hosts->hosts, index);
}

/* Returns the index of the host's zone. */
uint32_t soak_host_zone(const struct soak_host *host)
{
	return host->index % SOAK_ZONE_COUNT;
}

static bool is_ready(const struct soak_host *host)
{
	return host->fake && !host->is_draining;
}

/* Returns whether nodes may send new flows to the host. */
static bool is_usable(const struct soak_hosts *hosts,
		      const struct soak_host *host)
{
	return is_ready(host) && !host->is_entry_foreign &&
	       !hosts->is_evacuated[soak_host_zone(host)];
}

/* Returns whether the host's service has another one that may get new flows. */
bool soak_hosts_has_other_usable(const struct soak_hosts *hosts,
				 const struct soak_host *host)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++) {
		const struct soak_host *other = soak_hosts_at(hosts, i);

		if (other != host && other->service == host->service &&
		    is_usable(hosts, other))
			return true;
	}
	return false;
}

/*
 * Picks a ready host whose service has another one that may get new flows.
 * Returns NULL if there is none.
 */
struct soak_host *soak_hosts_pick(const struct soak_hosts *hosts,
				  uint32_t subject)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++) {
		struct soak_host *host =
			soak_hosts_at(hosts, (subject + i) % hosts->hosts->len);

		if (is_ready(host) && soak_hosts_has_other_usable(hosts, host))
			return host;
	}
	return NULL;
}

/*
 * Returns whether each service has a host in another zone that may get new
 * flows.
 */
bool soak_hosts_can_evacuate(const struct soak_hosts *hosts, uint32_t zone)
{
	uint64_t mask = 0;

	for (uint32_t i = 0; i < hosts->hosts->len; i++) {
		const struct soak_host *host = soak_hosts_at(hosts, i);

		if (soak_host_zone(host) != zone && is_usable(hosts, host))
			mask |= 1ULL << host->service;
	}
	return mask == (1ULL << hosts->options.service_count) - 1;
}

/* Stores whether a zone is evacuated: its hosts then get no new flows. */
void soak_hosts_set_evacuated(struct soak_hosts *hosts, uint32_t zone,
			      bool is_evacuated)
{
	hosts->is_evacuated[zone] = is_evacuated;
}
