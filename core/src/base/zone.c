#include <core/zone.h>

#include <string.h>
#include <xxhash.h>

/* Returns the id that all nodes use for the zone with this name; never 0. */
uint32_t zone_id_from_name(const char *name)
{
	uint32_t zone_id = XXH32(name, strlen(name), 0);

	return zone_id ? zone_id : 1;
}
