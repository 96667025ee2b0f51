#include "header_filter.h"

#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#define OWN_PREFIX "Shallot-"
#define TOKEN_CHARACTERS                                                       \
	"!#$%&'*+-.^_`|~0123456789"                                            \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

/* Headers that speak of one connection only (RFC 9110, section 7.6.1). */
static const char *const hop_names[] = {
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

static bool is_hop_name(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_names); i++) {
		if (g_ascii_strcasecmp(name, hop_names[i]) == 0)
			return true;
	}
	return false;
}

/* Tells whether a comma-separated list names the header. */
static bool is_listed(const char *list, const char *name)
{
	char **parts = g_strsplit(list, ",", -1);
	bool is_found = false;

	for (char **part = parts; !is_found && *part; part++)
		is_found = g_ascii_strcasecmp(g_strstrip(*part), name) == 0;
	g_strfreev(parts);
	return is_found;
}

static bool is_named_by_connection(struct evkeyvalq *headers, const char *name)
{
	struct evkeyval *header;

	TAILQ_FOREACH (header, headers, next) {
		if (g_ascii_strcasecmp(header->key, "Connection") == 0 &&
		    is_listed(header->value, name))
			return true;
	}
	return false;
}

static bool is_own(const char *name)
{
	return g_ascii_strncasecmp(name, OWN_PREFIX, strlen(OWN_PREFIX)) == 0;
}

static uint32_t count_of(struct evkeyvalq *headers, const char *name)
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
 * Tells how a message is framed. A message that frames itself twice, or in a
 * way that another reader may take otherwise, is FRAMING_BAD.
 */
enum body_framing header_filter_framing(struct evkeyvalq *headers)
{
	const char *length = evhttp_find_header(headers, "Content-Length");
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");

	if (count_of(headers, "Content-Length") > 1 ||
	    count_of(headers, "Transfer-Encoding") > 1 || (length && coding))
		return FRAMING_BAD;
	if (coding)
		return g_ascii_strcasecmp(coding, "chunked") == 0
			       ? FRAMING_CHUNKED
			       : FRAMING_BAD;
	if (!length)
		return FRAMING_NONE;
	return is_decimal(length) ? FRAMING_LENGTH : FRAMING_BAD;
}

/* Tells whether a value holds no control character but the tab. */
bool header_filter_is_text(const char *value)
{
	for (const char *at = value; *at; at++) {
		if (g_ascii_iscntrl(*at) && *at != '\t')
			return false;
	}
	return true;
}

/* Tells whether every name is a token and no value holds control characters. */
bool header_filter_is_valid(struct evkeyvalq *headers)
{
	struct evkeyval *header;

	TAILQ_FOREACH (header, headers, next) {
		if (*header->key == '\0' ||
		    header->key[strspn(header->key, TOKEN_CHARACTERS)] != '\0')
			return false;
		if (!header_filter_is_text(header->value))
			return false;
	}
	return true;
}

/*
 * Copies the headers that travel end to end. Headers of one hop and our own
 * ones stay behind, so that neither side can speak in our name.
 */
bool header_filter_copy(struct evkeyvalq *to, struct evkeyvalq *from)
{
	struct evkeyval *header;

	TAILQ_FOREACH (header, from, next) {
		if (is_hop_name(header->key) || is_own(header->key) ||
		    is_named_by_connection(from, header->key))
			continue;
		if (evhttp_add_header(to, header->key, header->value) != 0)
			return false;
	}
	return true;
}
