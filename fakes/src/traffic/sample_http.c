#include "sample_http.h"

#include <inttypes.h>
#include <string.h>

#define ID_HEADER "Shallotstream-Request-Id: "
/* Needs three packets, so that a response can arrive in parts. */
#define BODY_BYTES 2800
#define HEX_BASE 16

/* Returns an HTTP request with the id in a header. Free it with g_free. */
char *sample_http_request(uint64_t request_id)
{
	return g_strdup_printf("GET /soak HTTP/1.1\r\nHost: soak\r\n" ID_HEADER
			       "%016" PRIx64 "\r\n\r\n",
			       request_id);
}

/* Reads the id from a request. Returns false if there is no id header. */
bool sample_http_read_id(uint64_t *request_id, const uint8_t *bytes,
			 uint32_t length_bytes)
{
	char *text = g_strndup((const char *)bytes, length_bytes);
	const char *found = strstr(text, ID_HEADER);

	if (found)
		*request_id = g_ascii_strtoull(found + strlen(ID_HEADER), NULL,
					       HEX_BASE);
	g_free(text);
	return found != NULL;
}

/*
 * Returns the only correct response to a request to a service. Free it with
 * g_free.
 */
char *sample_http_response(uint64_t request_id, uint16_t service_port)
{
	char body[BODY_BYTES + 1];

	for (uint32_t i = 0; i < BODY_BYTES; i++)
		body[i] = (char)('a' + (request_id + service_port + i) % 26);
	body[BODY_BYTES] = '\0';
	return g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
			       "\r\n%s",
			       BODY_BYTES, body);
}
