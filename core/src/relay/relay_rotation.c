#include "relay_rotation.h"

/*
 * Routers ask twice a second, and stop sending packets to a node a second after
 * the last question that it answered, or later.
 */
#define ASKED_AGE_MAX_MS 950

/*
 * Returns whether the packets of the flows that this node opens keep coming to
 * it, as far as it can know. A node that nobody ever asked has no routers.
 */
bool relay_rotation_is_member(const struct relay_rotation *rotation,
			      int64_t now_ms)
{
	if (rotation->is_leaving)
		return false;
	return rotation->asked_ms == 0 ||
	       now_ms - rotation->asked_ms < ASKED_AGE_MAX_MS;
}
