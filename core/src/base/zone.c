#include <core/zone.h>

#include <string.h>
#include <xxhash.h>

/* Derives the id every node uses for the zone of that name; never 0. */
uint32_t zone_id_from_name(const char *name)
{
	uint32_t zone_id = XXH32(name, strlen(name), 0);

	return zone_id ? zone_id : 1;
}
