#include "header_filter.h"

#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#define RESERVED_PREFIX "Shallot-"
#define TOKEN_CHARACTERS                                                       \
	"!#$%&'*+-.^_`|~0123456789"                                            \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

/* Hop-by-hop headers (RFC 9110, section 7.6.1). */
static const char *const hop_by_hop_names[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
};

static bool is_hop_by_hop(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_names); i++) {
		if (g_ascii_strcasecmp(name, hop_by_hop_names[i]) == 0)
			return true;
	}
	return false;
}

/* Returns whether a comma-separated list contains the header name. */
static bool list_contains(const char *list, const char *name)
{
	char **parts = g_strsplit(list, ",", -1);
	bool is_found = false;

	for (char **part = parts; !is_found && *part; part++)
		is_found = g_ascii_strcasecmp(g_strstrip(*part), name) == 0;
	g_strfreev(parts);
	return is_found;
}

static bool is_connection_option(struct evkeyvalq *headers, const char *name)
{
	struct evkeyval *header;

	TAILQ_FOREACH (header, headers, next) {
		if (g_ascii_strcasecmp(header->key, "Connection") == 0 &&
		    list_contains(header->value, name))
			return true;
	}
	return false;
}

static bool is_reserved(const char *name)
{
	return g_ascii_strncasecmp(name, RESERVED_PREFIX,
				   strlen(RESERVED_PREFIX)) == 0;
}

static uint32_t count_headers(struct evkeyvalq *headers, const char *name)
{
	struct evkeyval *header;
	uint32_t count = 0;

	TAILQ_FOREACH (header, headers, next) {
		if (g_ascii_strcasecmp(header->key, name) == 0)
			count++;
	}
	return count;
}

static bool is_decimal(const char *text)
{
	return *text != '\0' && text[strspn(text, "0123456789")] == '\0';
}

/*
 * Returns the framing of a message's body. Duplicate or conflicting framing
 * headers, and values that another parser may read differently, are
 * FRAMING_INVALID, as they allow request smuggling.
 */
enum body_framing header_filter_parse_framing(struct evkeyvalq *headers)
{
	const char *length = evhttp_find_header(headers, "Content-Length");
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");

	if (count_headers(headers, "Content-Length") > 1 ||
	    count_headers(headers, "Transfer-Encoding") > 1 ||
	    (length && coding))
		return FRAMING_INVALID;
	if (coding)
		return g_ascii_strcasecmp(coding, "chunked") == 0
			       ? FRAMING_CHUNKED
			       : FRAMING_INVALID;
	if (!length)
		return FRAMING_NONE;
	return is_decimal(length) ? FRAMING_LENGTH : FRAMING_INVALID;
}

/* Returns whether a value has no control character other than tab. */
bool header_filter_is_valid_value(const char *value)
{
	for (const char *at = value; *at; at++) {
		if (g_ascii_iscntrl(*at) && *at != '\t')
			return false;
	}
	return true;
}

/* Returns whether every header has a valid name (a token) and value. */
bool header_filter_is_valid(struct evkeyvalq *headers)
{
	struct evkeyval *header;

	TAILQ_FOREACH (header, headers, next) {
		if (*header->key == '\0' ||
		    header->key[strspn(header->key, TOKEN_CHARACTERS)] != '\0')
			return false;
		if (!header_filter_is_valid_value(header->value))
			return false;
	}
	return true;
}

/*
 * Copies the end-to-end headers. Leaves out hop-by-hop headers, and Shallot-
 * headers, which neither a caller nor a target may forge. Returns false if a
 * header cannot be added.
 */
bool header_filter_copy(struct evkeyvalq *to, struct evkeyvalq *from)
{
	struct evkeyval *header;

	TAILQ_FOREACH (header, from, next) {
		if (is_hop_by_hop(header->key) || is_reserved(header->key) ||
		    is_connection_option(from, header->key))
			continue;
		if (evhttp_add_header(to, header->key, header->value) != 0)
			return false;
	}
	return true;
}
