#ifndef DAEMON_REQUEST_SETTINGS_H
#define DAEMON_REQUEST_SETTINGS_H

#include <daemon/service_address.h>

#define SERVICE_ADDRESS_COUNT_MAX 128

/* Limits of the HTTP front end and the addresses of single services. */
struct request_settings {
	/* Open connections from callers. */
	uint32_t connection_limit;
	uint32_t request_limit;
	uint32_t queue_limit;
	uint32_t header_bytes;
	uint32_t body_bytes;
	/* Bytes of requests and responses that the node may buffer. */
	uint64_t buffered_bytes;
	/* How long a connection may wait for its next request. */
	uint32_t idle_timeout_ms;
	/* How long a request may take to arrive completely. */
	uint32_t read_timeout_ms;
	/* How long a response may make no progress on either side. */
	uint32_t stall_timeout_ms;
	/* How long a response may take after its headers have arrived. */
	uint32_t answer_timeout_ms;
	uint32_t connect_timeout_ms;
	uint32_t service_address_count;
	struct service_address service_addresses[SERVICE_ADDRESS_COUNT_MAX];
};

#endif
