#ifndef HEADER_FILTER_H
#define HEADER_FILTER_H

#include <event2/http.h>
#include <stdbool.h>

/* How a message delimits its body (RFC 9112, section 6). */
enum body_framing {
	FRAMING_NONE,
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_INVALID,
};

enum body_framing header_filter_parse_framing(struct evkeyvalq *headers);
bool header_filter_is_valid_value(const char *value);
bool header_filter_is_valid(struct evkeyvalq *headers);
bool header_filter_copy(struct evkeyvalq *to, struct evkeyvalq *from);

#endif
