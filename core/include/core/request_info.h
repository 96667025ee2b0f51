#ifndef CORE_REQUEST_INFO_H
#define CORE_REQUEST_INFO_H

#include <core/flow_key.h>
#include <core/work_class.h>

/*
 * The properties of a request that decisions depend on; no headers or body.
 * caller_hash is a hash of the caller's IP address, by which the queues share
 * their entries between callers. is_repeatable: the request may be run more
 * than once. idempotency_key_hash is set if has_idempotency_key is.
 */
struct request_info {
	uint64_t request_id;
	uint32_t service_id;
	uint64_t caller_hash;
	bool is_repeatable;
	bool has_idempotency_key;
	struct hash128 idempotency_key_hash;
	int64_t deadline_ms;
};

#endif
