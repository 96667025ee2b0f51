#ifndef RECEIVE_STAMP_H
#define RECEIVE_STAMP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells the times at which the kernel received datagrams from times at which it
 * handed them over. A kernel that has just been asked for the time of arrival
 * may not record it yet, and then fills in the time of the call that reads the
 * datagram. is_reliable is set once a stamp is older than the call.
 */
struct receive_stamp {
	bool is_reliable;
};

bool receive_stamp_check(struct receive_stamp *stamp, int64_t call_ns,
			 int64_t stamp_ns);

#endif
