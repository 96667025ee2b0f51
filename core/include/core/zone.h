#ifndef CORE_ZONE_H
#define CORE_ZONE_H

#include <stdint.h>

#define ZONE_NAME_BYTES 32

/*
 * An availability zone. The id is a hash of the name, so all nodes use the same
 * id.
 */
struct zone {
	uint32_t zone_id;
	char name[ZONE_NAME_BYTES];
};

uint32_t zone_id_from_name(const char *name);

#endif
