#include "receive_stamp.h"

/*
 * Returns whether stamp_ns is when a datagram arrived. call_ns is the time of
 * day before the call that read it; both are of the same clock.
 */
bool receive_stamp_check(struct receive_stamp *stamp, int64_t call_ns,
			 int64_t stamp_ns)
{
	if (stamp_ns < call_ns)
		stamp->is_reliable = true;
	return stamp->is_reliable;
}
