#include <core/service.h>

#include <string.h>
#include <xxhash.h>

static const char *const protocol_names[SERVICE_PROTOCOL_COUNT] = {
	[SERVICE_TCP] = "tcp",
	[SERVICE_UDP] = "udp",
	[SERVICE_HTTP] = "http",
};

static const char *const repeatability_names[REPEATABILITY_COUNT] = {
	[REPEAT_BY_METHOD] = "method",
	[REPEAT_ALWAYS] = "always",
	[REPEAT_NEVER] = "never",
};

/* Returns the id that all nodes use for the service; never SERVICE_NONE. */
uint32_t service_id_from_name(const char *name)
{
	uint32_t service_id = XXH32(name, strlen(name), 1);

	return service_id != SERVICE_NONE ? service_id : 1;
}

/* Returns the name used in rules and logs. */
const char *service_protocol_name(enum service_protocol protocol)
{
	return protocol < SERVICE_PROTOCOL_COUNT ? protocol_names[protocol]
						 : "invalid";
}

/* Returns the name used in rules and logs. */
const char *repeatability_name(enum repeatability repeatability)
{
	return repeatability < REPEATABILITY_COUNT
		       ? repeatability_names[repeatability]
		       : "invalid";
}
