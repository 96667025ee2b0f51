#ifndef DAEMON_REQUEST_SETTINGS_H
#define DAEMON_REQUEST_SETTINGS_H

#include <daemon/service_address.h>

#define SERVICE_ADDRESS_COUNT_MAX 128

/* Limits and timeouts of the HTTP frontend, and per-service addresses. */
struct request_settings {
	/* Open connections from callers. */
	uint32_t connection_limit;
	/* Open requests, including those that wait in a queue. */
	uint32_t request_limit;
	/* Requests that may wait in each queue. */
	uint32_t queue_limit;
	/* Maximum size of the headers of a request or response. */
	uint32_t header_bytes;
	/* Maximum size of the body of a request. */
	uint32_t body_bytes;
	/* Bytes of requests and responses that the node may buffer. */
	uint64_t buffered_bytes;
	/* How long a connection may wait for its next request. */
	uint32_t idle_timeout_ms;
	/* How long a request may take to arrive completely. */
	uint32_t read_timeout_ms;
	/* How long a target or a caller may make no progress in a response. */
	uint32_t stall_timeout_ms;
	/* How long a response may take after its headers have arrived. */
	uint32_t answer_timeout_ms;
	uint32_t connect_timeout_ms;
	uint32_t service_address_count;
	struct service_address service_addresses[SERVICE_ADDRESS_COUNT_MAX];
};

#endif
