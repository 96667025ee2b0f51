#ifndef END_ANSWER_H
#define END_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The text of a request and of the one right answer to it; g_free them. */
char *end_request_text(uint64_t request_id);
bool end_request_read(uint64_t *request_id, const uint8_t *bytes,
		      uint32_t length_bytes);
char *end_answer_text(uint64_t request_id, uint16_t service_port);

#endif
