#ifndef CORE_RELAY_TAG_H
#define CORE_RELAY_TAG_H

#include <stdint.h>

#define RELAY_TAG_NONE 0

/*
 * A tag is a 32-bit value that a target puts into its packets and the caller
 * echoes, so that any node can identify the target from the packet alone.
 */
uint32_t relay_tag_of(uint64_t target_id);

#endif
