#include "host_entry.h"

#include <inttypes.h>

/* Returns the store key of a host's entry. Free it with g_free. */
char *fake_host_entry_key(uint64_t host_id)
{
	return g_strdup_printf("servers/i-%" PRIx64, host_id);
}

/* Returns a host's store entry as JSON. Free it with g_free. */
char *host_entry_format(const struct fake_host_options *options,
			bool is_draining)
{
	char address[ENDPOINT_TEXT_BYTES];

	return g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"version\":\"1\",\"concurrency\":%u,\"state\":\"%s\","
		"\"warmupRemainingMs\":0,\"sequence\":1,\"born\":%" PRIu64 "}",
		options->service, endpoint_format(&options->listen, address),
		options->zone, options->slot_count,
		is_draining ? "draining" : "ready", options->born_ms);
}
