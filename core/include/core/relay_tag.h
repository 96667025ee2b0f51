#ifndef CORE_RELAY_TAG_H
#define CORE_RELAY_TAG_H

#include <stdint.h>

#define RELAY_TAG_NONE 0

/*
 * The 32 bits that a target puts into its packets and a caller brings back,
 * so that any node can name the target from the packet alone.
 */
uint32_t relay_tag_of(uint64_t target_id);

#endif
