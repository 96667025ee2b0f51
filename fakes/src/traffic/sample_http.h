#ifndef SAMPLE_HTTP_H
#define SAMPLE_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * HTTP requests that carry an id, and the only correct response to each.
 * Callers compare a response with the expected one byte for byte.
 */
char *sample_http_request(uint64_t request_id);
bool sample_http_read_id(uint64_t *request_id, const uint8_t *bytes,
			 uint32_t length_bytes);
char *sample_http_response(uint64_t request_id, uint16_t service_port);

#endif
