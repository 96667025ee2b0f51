#include "route_queries.h"

#include "route_json.h"

#include <daemon/route_message.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <task/timer.h>

/* An explanation takes the relay task a few flows' time; few may ask at once.
 */
#define QUERY_COUNT_MAX 4

#define QUERY_TIMEOUT_MS 500

enum query_status {
	STATUS_OK = 200,
	STATUS_MALFORMED = 400,
	STATUS_UNKNOWN = 404,
	STATUS_NOT_IMPLEMENTED = 501,
	STATUS_UNAVAILABLE = 503,
};

/* A request that waits for its reply, at most QUERY_TIMEOUT_MS. */
struct query {
	struct route_queries *queries;
	uint64_t request_id;
	struct evhttp_request *request;
	struct timer *timer;
};

struct route_queries {
	struct route_queries_options options;
	GHashTable *by_id;
	uint64_t next_request_id;
};

static void free_query(gpointer data)
{
	struct query *query = data;

	timer_free(query->timer);
	g_free(query);
}

/* Creates an empty set. Free it with route_queries_free. */
struct route_queries *
route_queries_new(const struct route_queries_options *options)
{
	struct route_queries *queries = g_new0(struct route_queries, 1);

	queries->options = *options;
	queries->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_query);
	return queries;
}

/* Frees the set; NULL is allowed. */
void route_queries_free(struct route_queries *queries)
{
	if (!queries)
		return;
	g_hash_table_destroy(queries->by_id);
	g_free(queries);
}

/* Forgets the requests, which the HTTP server then frees. */
void route_queries_clear(struct route_queries *queries)
{
	g_hash_table_remove_all(queries->by_id);
}

/* Sends a response and frees its text. */
static void respond(struct evhttp_request *request, enum query_status status,
		    char *text)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s\n",
			    text);
	evhttp_send_reply(request, (int)status, NULL, NULL);
	free(text);
}

static void respond_error(struct evhttp_request *request,
			  enum query_status status, const char *text)
{
	respond(request, status, route_json_encode_error(text));
}

static void on_timeout(void *context)
{
	struct query *query = context;

	respond_error(query->request, STATUS_UNAVAILABLE,
		      "the node did not answer in time");
	g_hash_table_remove(query->queries->by_id, &query->request_id);
}

/* Reads an endpoint with a port; false if it is malformed. */
static bool parse_address(struct endpoint *endpoint, const char *text)
{
	return text && endpoint_parse(endpoint, text) && endpoint->port != 0;
}

static bool parse_question(struct relay_route_question *question,
			   struct evhttp_request *request)
{
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	struct evkeyvalq parameters;
	const char *caller;
	bool is_valid;

	*question = (struct relay_route_question){.has_caller = false};
	if (!query || evhttp_parse_query_str(query, &parameters) != 0)
		return false;
	caller = evhttp_find_header(&parameters, "caller");
	question->has_caller = caller != NULL;
	is_valid = parse_address(&question->service,
				 evhttp_find_header(&parameters, "service")) &&
		   (!caller || parse_address(&question->caller, caller));
	evhttp_clear_headers(&parameters);
	return is_valid;
}

static void ask(struct route_queries *queries, struct evhttp_request *request,
		const struct relay_route_question *question)
{
	uint64_t request_id = queries->next_request_id++;
	struct message *message =
		route_request_new(queries->options.admin, request_id, question);
	struct query *query;

	if (task_post(queries->options.relay, message) != POST_ACCEPTED) {
		message_free(message);
		respond_error(request, STATUS_UNAVAILABLE, "the node is busy");
		return;
	}
	query = g_new0(struct query, 1);
	query->queries = queries;
	query->request_id = request_id;
	query->request = request;
	query->timer = timer_new(queries->options.admin, query, on_timeout);
	g_hash_table_insert(queries->by_id, &query->request_id, query);
	timer_once(query->timer, QUERY_TIMEOUT_MS);
}

/* Callback of the HTTP server for /route; context is the set. */
void route_queries_handle_request(struct evhttp_request *request, void *context)
{
	struct route_queries *queries = context;
	struct relay_route_question question;

	if (!queries->options.relay)
		respond_error(request, STATUS_NOT_IMPLEMENTED,
			      "only nodes with delivery mode tag explain "
			      "routes");
	else if (!parse_question(&question, request))
		respond_error(request, STATUS_MALFORMED,
			      "service, and caller if given, must be "
			      "ADDRESS:PORT");
	else if (g_hash_table_size(queries->by_id) >= QUERY_COUNT_MAX)
		respond_error(request, STATUS_UNAVAILABLE,
			      "too many questions at once");
	else
		ask(queries, request, &question);
}

/* Responds to the request that a route_reply belongs to, if it still waits. */
void route_queries_handle_reply(struct route_queries *queries,
				struct message *message)
{
	const struct route_reply *reply = (struct route_reply *)message;
	struct query *query =
		g_hash_table_lookup(queries->by_id, &reply->request_id);

	if (!query)
		return;
	switch (reply->explanation->status) {
	case RELAY_ROUTE_FOUND:
		respond(query->request, STATUS_OK,
			route_json_encode(reply->explanation));
		break;
	case RELAY_ROUTE_UNKNOWN:
		respond_error(query->request, STATUS_UNKNOWN,
			      "no route for this address");
		break;
	case RELAY_ROUTE_NOT_READY:
		respond_error(query->request, STATUS_UNAVAILABLE,
			      "the node has no routes yet");
		break;
	}
	g_hash_table_remove(queries->by_id, &query->request_id);
}
