#include "load_connection.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define US_PER_MS 1000
#define MS_PER_S 1000
#define PATH_BYTES 256
#define OUTCOME_HEADER "Shallot-Outcome"

struct load_connection {
	struct load_connection_options options;
	struct evhttp_connection *evcon;
	const struct load_class *load_class;
	int64_t start_us;
	char path[PATH_BYTES];
};

/*
 * Makes a connection, which connects when first used. Free it with
 * load_connection_free.
 */
struct load_connection *
load_connection_new(const struct load_connection_options *options)
{
	struct load_connection *connection = g_new0(struct load_connection, 1);
	struct timeval timeout = {
		.tv_sec = options->timeout_ms / MS_PER_S,
		.tv_usec = (options->timeout_ms % MS_PER_S) * US_PER_MS,
	};
	char address[IP_ADDR_TEXT_BYTES];

	connection->options = *options;
	ip_addr_format(&options->node.addr, address);
	connection->evcon = evhttp_connection_base_new(
		options->base, NULL, address, options->node.port);
	evhttp_connection_set_timeout_tv(connection->evcon, &timeout);
	return connection;
}

/* Closes and frees the connection; NULL is allowed. */
void load_connection_free(struct load_connection *connection)
{
	if (!connection)
		return;
	evhttp_connection_free(connection->evcon);
	g_free(connection);
}

/* Returns the class of the last request. */
const struct load_class *
load_connection_class(const struct load_connection *connection)
{
	return connection->load_class;
}

/* A fake target responds with its name, a space, the path and a newline. */
static bool is_echo(const struct load_connection *connection,
		    struct evbuffer *body)
{
	size_t length = evbuffer_get_length(body);
	size_t path_length = strlen(connection->path);
	const char *text = (const char *)evbuffer_pullup(body, -1);

	return length > path_length + 1 && text[length - 1] == '\n' &&
	       text[length - path_length - 2] == ' ' &&
	       memcmp(text + length - path_length - 1, connection->path,
		      path_length) == 0;
}

static enum load_outcome outcome_of(const struct load_connection *connection,
				    struct evhttp_request *request)
{
	int status = request ? evhttp_request_get_response_code(request) : 0;
	const char *outcome;

	if (status == 0)
		return LOAD_INCOMPLETE;
	outcome = evhttp_find_header(evhttp_request_get_input_headers(request),
				     OUTCOME_HEADER);
	if (outcome && strcmp(outcome, "not-run") == 0)
		return LOAD_NOT_RUN;
	if (outcome)
		return LOAD_UNKNOWN;
	if (status >= 400)
		return LOAD_REJECTED;
	if (connection->options.is_echo_checked &&
	    !is_echo(connection, evhttp_request_get_input_buffer(request)))
		return LOAD_WRONG_ECHO;
	return LOAD_COMPLETE;
}

static void on_response(struct evhttp_request *request, void *context)
{
	struct load_connection *connection = context;
	uint64_t latency_us =
		(uint64_t)(g_get_monotonic_time() - connection->start_us);

	connection->options.request_ended(
		connection->options.context, connection,
		outcome_of(connection, request), latency_us);
}

/*
 * Sends a request; request_number makes its path unique. Returns false on
 * failure.
 */
bool load_connection_send(struct load_connection *connection,
			  const struct load_class *load_class,
			  uint64_t request_number)
{
	struct evhttp_request *request =
		evhttp_request_new(on_response, connection);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);

	connection->load_class = load_class;
	connection->start_us = g_get_monotonic_time();
	g_snprintf(connection->path, sizeof(connection->path), "%s?n=%" PRIu64,
		   load_class->path, request_number);
	evhttp_add_header(headers, "Host", load_class->host);
	return evhttp_make_request(connection->evcon, request,
				   load_class->is_repeatable ? EVHTTP_REQ_GET
							     : EVHTTP_REQ_POST,
				   connection->path) == 0;
}
