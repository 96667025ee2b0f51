#include <core/relay_tag.h>

/*
 * Derives a target's tag by folding its id to 32 bits. An id of 32 bits is its
 * own tag. Never returns RELAY_TAG_NONE.
 */
uint32_t relay_tag_of(uint64_t target_id)
{
	uint32_t tag = (uint32_t)(target_id ^ (target_id >> 32));

	return tag != RELAY_TAG_NONE ? tag : 1;
}
