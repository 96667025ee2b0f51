#include "load_call.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define US_PER_MS 1000
#define MS_PER_S 1000
#define PATH_BYTES 256
#define OUTCOME_HEADER "Shallot-Outcome"

struct load_call {
	struct load_call_options options;
	struct evhttp_connection *connection;
	const struct load_class *kind;
	int64_t start_us;
	char path[PATH_BYTES];
};

/* Makes a call that is not sent yet; the caller frees it. */
struct load_call *load_call_new(const struct load_call_options *options)
{
	struct load_call *call = g_new0(struct load_call, 1);
	struct timeval timeout = {
		.tv_sec = options->timeout_ms / MS_PER_S,
		.tv_usec = (options->timeout_ms % MS_PER_S) * US_PER_MS,
	};
	char address[IP_ADDR_TEXT_BYTES];

	call->options = *options;
	ip_addr_format(&options->node.addr, address);
	call->connection = evhttp_connection_base_new(
		options->base, NULL, address, options->node.port);
	evhttp_connection_set_timeout_tv(call->connection, &timeout);
	return call;
}

/* Closes the connection and frees the call; NULL is allowed. */
void load_call_free(struct load_call *call)
{
	if (!call)
		return;
	evhttp_connection_free(call->connection);
	g_free(call);
}

/* Returns the class that the call was last sent for. */
const struct load_class *load_call_class(const struct load_call *call)
{
	return call->kind;
}

/* A stand-in target answers with its name, a space, the path and a newline. */
static bool is_echo(const struct load_call *call, struct evbuffer *body)
{
	size_t length = evbuffer_get_length(body);
	size_t path_length = strlen(call->path);
	const char *text = (const char *)evbuffer_pullup(body, -1);

	return length > path_length + 1 && text[length - 1] == '\n' &&
	       text[length - path_length - 2] == ' ' &&
	       memcmp(text + length - path_length - 1, call->path,
		      path_length) == 0;
}

static enum load_outcome outcome_of(const struct load_call *call,
				    struct evhttp_request *request)
{
	int status = request ? evhttp_request_get_response_code(request) : 0;
	const char *outcome;

	if (status == 0)
		return LOAD_BROKEN;
	outcome = evhttp_find_header(evhttp_request_get_input_headers(request),
				     OUTCOME_HEADER);
	if (outcome && strcmp(outcome, "not-run") == 0)
		return LOAD_NOT_RUN;
	if (outcome)
		return LOAD_UNKNOWN;
	if (status >= 400)
		return LOAD_REJECTED;
	if (call->options.is_echo_checked &&
	    !is_echo(call, evhttp_request_get_input_buffer(request)))
		return LOAD_WRONG;
	return LOAD_WHOLE;
}

static void on_answer(struct evhttp_request *request, void *context)
{
	struct load_call *call = context;
	uint64_t latency_us =
		(uint64_t)(g_get_monotonic_time() - call->start_us);

	call->options.ended(call->options.context, call,
			    outcome_of(call, request), latency_us);
}

/* Sends one request; the number makes its path unlike any other. */
bool load_call_send(struct load_call *call, const struct load_class *kind,
		    uint64_t number)
{
	struct evhttp_request *request = evhttp_request_new(on_answer, call);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);

	call->kind = kind;
	call->start_us = g_get_monotonic_time();
	g_snprintf(call->path, sizeof(call->path), "%s?n=%" PRIu64, kind->path,
		   number);
	evhttp_add_header(headers, "Host", kind->host);
	return evhttp_make_request(call->connection, request,
				   kind->is_repeatable ? EVHTTP_REQ_GET
						       : EVHTTP_REQ_POST,
				   call->path) == 0;
}
