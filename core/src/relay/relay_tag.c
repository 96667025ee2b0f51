#include <core/relay_tag.h>

/* Folds a target's id; ids of 32 bits keep their value, none becomes 0. */
uint32_t relay_tag_of(uint64_t target_id)
{
	uint32_t tag = (uint32_t)(target_id ^ (target_id >> 32));

	return tag != RELAY_TAG_NONE ? tag : 1;
}
