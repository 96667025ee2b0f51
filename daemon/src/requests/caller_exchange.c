#include "caller_exchange.h"

#include "header_filter.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <task/timer.h>

/* Bytes of an answer that may wait for a slow caller, */
#define PENDING_BYTES_MAX (256 * 1024)
/* and how many where the node holds much already. */
#define PENDING_BYTES_TIGHT (16 * 1024)
/* A caller must take this much in each stall_timeout_ms. */
#define PROGRESS_BYTES_MIN 4096

struct caller_exchange {
	struct caller_exchange_options options;
	struct timer *timer;
	uint64_t written_bytes;
	bool has_begun;
	/* Every byte of the answer is with evhttp. */
	bool is_finished;
	bool is_cut;
};

static struct evbuffer *output_of(const struct caller_exchange *exchange)
{
	return bufferevent_get_output(
		caller_connection_stream(exchange->options.connection));
}

static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *context)
{
	struct caller_exchange *exchange = context;

	exchange->written_bytes += info->n_deleted;
	buffer_budget_take(exchange->options.budget, info->n_added);
	buffer_budget_return(exchange->options.budget, info->n_deleted);
}

static void end(struct caller_exchange *exchange, bool is_written)
{
	evbuffer_remove_cb(output_of(exchange), on_output, exchange);
	buffer_budget_return(exchange->options.budget,
			     evbuffer_get_length(output_of(exchange)));
	timer_free(exchange->timer);
	exchange->options.ended(exchange->options.context,
				exchange->options.request_id, is_written);
	g_free(exchange);
}

/* A request that evhttp has cut loose from its connection is ours to free. */
static void on_gone(void *context)
{
	struct caller_exchange *exchange = context;
	struct evhttp_request *request = exchange->options.request;

	if (!exchange->is_finished && !evhttp_request_get_connection(request))
		evhttp_request_free(request);
	end(exchange, false);
}

static void on_written(struct evhttp_request *request, void *context)
{
	struct caller_exchange *exchange = context;

	caller_connection_end(exchange->options.connection);
	end(exchange, true);
}

static void on_drained(struct evhttp_connection *http, void *context)
{
	struct caller_exchange *exchange = context;

	exchange->options.drained(exchange->options.context,
				  exchange->options.request_id);
}

/* A slow reader may not hold a target's slot for ever. */
static void on_timer(void *context)
{
	struct caller_exchange *exchange = context;
	uint64_t written_bytes = exchange->written_bytes;

	exchange->written_bytes = 0;
	if (evbuffer_get_length(output_of(exchange)) > 0 &&
	    written_bytes < PROGRESS_BYTES_MIN)
		caller_exchange_cut(exchange);
}

/* Takes charge of a request that has arrived whole. */
struct caller_exchange *
caller_exchange_new(const struct caller_exchange_options *options)
{
	struct caller_exchange *exchange = g_new0(struct caller_exchange, 1);

	exchange->options = *options;
	caller_connection_begin(options->connection, exchange, on_gone);
	evhttp_request_set_on_complete_cb(options->request, on_written,
					  exchange);
	evbuffer_add_cb(output_of(exchange), on_output, exchange);
	exchange->timer = timer_new(options->task, exchange, on_timer);
	return exchange;
}

/* Returns what the caller sent; valid until the exchange ends. */
struct evhttp_request *
caller_exchange_request(const struct caller_exchange *exchange)
{
	return exchange->options.request;
}

/* Tells whether the caller has been sent anything. */
bool caller_exchange_has_begun(const struct caller_exchange *exchange)
{
	return exchange->has_begun;
}

/* Asks the caller to use another connection for its next request. */
void caller_exchange_close_after(struct caller_exchange *exchange)
{
	if (!exchange->has_begun)
		evhttp_add_header(evhttp_request_get_output_headers(
					  exchange->options.request),
				  "Connection", "close");
}

/*
 * An HTTP/1.0 caller learns the end of an answer of unknown length from the
 * end of the connection, so the connection may not be kept.
 */
static void forbid_keep_alive(struct evhttp_request *request)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(request);

	if (request->major == 1 && request->minor == 0 &&
	    !evhttp_find_header(out, "Content-Length"))
		evhttp_remove_header(evhttp_request_get_input_headers(request),
				     "Connection");
}

/* Sends status and headers of a target's answer; the body follows. */
void caller_exchange_begin(struct caller_exchange *exchange,
			   struct evhttp_request *answer)
{
	struct evhttp_request *request = exchange->options.request;

	header_filter_copy(evhttp_request_get_output_headers(request),
			   evhttp_request_get_input_headers(answer));
	forbid_keep_alive(request);
	exchange->has_begun = true;
	timer_every(exchange->timer,
		    exchange->options.settings->stall_timeout_ms);
	evhttp_send_reply_start(request,
				evhttp_request_get_response_code(answer),
				evhttp_request_get_response_code_line(answer));
}

static size_t pending_limit(const struct caller_exchange *exchange)
{
	return buffer_budget_is_tight(exchange->options.budget)
		       ? PENDING_BYTES_TIGHT
		       : PENDING_BYTES_MAX;
}

/*
 * Moves bytes of the body to the caller. Returns true when the caller is
 * behind; no more may be added before drained runs.
 */
bool caller_exchange_add_body(struct caller_exchange *exchange,
			      struct evbuffer *bytes)
{
	if (exchange->is_cut) {
		evbuffer_drain(bytes, evbuffer_get_length(bytes));
		return false;
	}
	evhttp_send_reply_chunk_with_cb(exchange->options.request, bytes,
					on_drained, exchange);
	return evbuffer_get_length(output_of(exchange)) >=
	       pending_limit(exchange);
}

/* Sends a whole answer of our own; ended may run before this returns. */
void caller_exchange_reply(struct caller_exchange *exchange, int status,
			   const char *reason)
{
	exchange->has_begun = true;
	exchange->is_finished = true;
	timer_every(exchange->timer,
		    exchange->options.settings->stall_timeout_ms);
	evhttp_send_reply(exchange->options.request, status, reason, NULL);
}

/* The answer is whole; ended may run before this returns. */
void caller_exchange_finish(struct caller_exchange *exchange)
{
	if (exchange->is_cut)
		return;
	exchange->is_finished = true;
	evhttp_send_reply_end(exchange->options.request);
}

/* Breaks the connection off; ended runs soon. */
void caller_exchange_cut(struct caller_exchange *exchange)
{
	exchange->is_cut = true;
	caller_connection_abort(exchange->options.connection);
}
