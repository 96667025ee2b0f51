#include "request_reader.h"

#include "header_filter.h"

#include <event2/buffer.h>
#include <string.h>
#include <sys/socket.h>
#include <wire/sock_addr.h>
#include <xxhash.h>

#define DEADLINE_MAX_MS 86400000
/* Not a status: the request is accepted. */
#define STATUS_NONE 0

/* Safe methods (RFC 9110, section 9.2.1). */
#define SAFE_METHODS (EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS)
/* evhttp reads a body for these methods only. */
#define BODY_METHODS (EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH)

static bool has_valid_body(struct evhttp_request *request)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	enum body_framing framing = header_filter_parse_framing(headers);
	const char *length;

	if (framing == FRAMING_INVALID)
		return false;
	if (evhttp_request_get_command(request) & BODY_METHODS)
		return true;
	/* An unread body would be parsed as the next request. */
	length = evhttp_find_header(headers, "Content-Length");
	return framing == FRAMING_NONE || (length && strcmp(length, "0") == 0);
}

/* Whitespace or control characters would break the forwarded request line. */
static bool has_valid_uri(struct evhttp_request *request)
{
	const char *uri = evhttp_request_get_uri(request);

	for (const char *at = uri; *at; at++) {
		if (g_ascii_isspace(*at) || g_ascii_iscntrl(*at))
			return false;
	}
	return *uri != '\0';
}

/*
 * By default only safe methods are repeatable. PUT and DELETE are idempotent,
 * but a repeat may run after another caller's change and undo it.
 */
static bool is_repeatable(const struct service *service,
			  struct evhttp_request *request)
{
	if (service->repeatability == REPEAT_BY_METHOD)
		return (evhttp_request_get_command(request) & SAFE_METHODS) !=
		       0;
	return service->repeatability == REPEAT_ALWAYS;
}

static uint64_t caller_hash(struct evhttp_request *request)
{
	const struct sockaddr *addr = evhttp_connection_get_addr(
		evhttp_request_get_connection(request));
	struct sockaddr_storage storage = {.ss_family = AF_UNSPEC};
	struct endpoint caller;
	size_t length = addr && addr->sa_family == AF_INET6
				? sizeof(struct sockaddr_in6)
				: sizeof(struct sockaddr_in);

	if (!addr)
		return 0;
	memcpy(&storage, addr, length);
	if (!sock_addr_to_endpoint(&caller, &storage))
		return 0;
	return XXH3_64bits(&caller.addr, sizeof(caller.addr));
}

static void read_idempotency_key(struct request_info *info,
				 struct evkeyvalq *headers)
{
	const char *key = evhttp_find_header(headers, "Idempotency-Key");
	XXH128_hash_t hash;

	if (!key || *key == '\0')
		return;
	hash = XXH3_128bits_withSeed(key, strlen(key), info->service_id);
	info->has_idempotency_key = true;
	info->idempotency_key_hash.high = hash.high64;
	info->idempotency_key_hash.low = hash.low64;
}

/* The caller may shorten the service's timeout, but not extend it. */
static bool read_deadline(struct request_info *info, struct evkeyvalq *headers,
			  uint32_t timeout_ms, int64_t now_ms)
{
	const char *text = evhttp_find_header(headers, "Shallot-Deadline-Ms");
	guint64 requested_ms = timeout_ms;

	if (text && !g_ascii_string_to_unsigned(text, 10, 0, DEADLINE_MAX_MS,
						&requested_ms, NULL))
		return false;
	info->deadline_ms = now_ms + (int64_t)MIN(requested_ms, timeout_ms);
	return true;
}

/*
 * Validates a request and fills in info. On entry, info->service_id is the
 * service of the listening address or SERVICE_NONE; SERVICE_NONE is replaced by
 * the service that the Host header names. Returns 0, or the status with which
 * to reject the request.
 */
int request_reader_read(struct request_info *info,
			struct evhttp_request *request,
			const struct rule_set *rules, int64_t now_ms)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	const char *host = evhttp_request_get_host(request);
	const struct rule *rule;

	if (!header_filter_is_valid(headers) || !has_valid_body(request) ||
	    !has_valid_uri(request))
		return STATUS_BAD_REQUEST;
	if (info->service_id == SERVICE_NONE && host)
		info->service_id = service_id_from_name(host);
	rule = rule_set_by_id(rules, info->service_id);
	if (!rule || rule->service.protocol != SERVICE_HTTP)
		return STATUS_MISDIRECTED_REQUEST;
	if (!read_deadline(info, headers, rule->service.timeout_ms, now_ms))
		return STATUS_BAD_REQUEST;
	info->is_repeatable = is_repeatable(&rule->service, request);
	info->caller_hash = caller_hash(request);
	read_idempotency_key(info, headers);
	return STATUS_NONE;
}
