#ifndef RELAY_ROTATION_H
#define RELAY_ROTATION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What a node knows of whether routers send it packets. asked_ms is when a
 * router last asked whether it is ready and was told so, 0 for never.
 */
struct relay_rotation {
	int64_t asked_ms;
	bool is_leaving;
};

bool relay_rotation_is_member(const struct relay_rotation *rotation,
			      int64_t now_ms);

#endif
