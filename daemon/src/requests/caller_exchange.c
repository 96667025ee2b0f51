#include "caller_exchange.h"

#include "header_filter.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <task/timer.h>

/* Output-buffer size at which reading from the target is paused. */
#define PENDING_BYTES_MAX (256 * 1024)
/* Replaces PENDING_BYTES_MAX while the buffer budget is under pressure. */
#define PENDING_BYTES_MAX_UNDER_PRESSURE (16 * 1024)
/* Minimum that a caller must read in each period of stall_timeout_ms. */
#define PROGRESS_BYTES_MIN 4096

struct caller_exchange {
	struct caller_exchange_options options;
	struct timer *timer;
	/* Bytes passed from the output buffer to the kernel since on_timer ran.
	 */
	uint64_t written_bytes;
	bool has_response_started;
	/* The complete response has been passed to evhttp. */
	bool is_finished;
	bool is_aborted;
};

static struct evbuffer *output_buffer(const struct caller_exchange *exchange)
{
	return bufferevent_get_output(
		caller_connection_stream(exchange->options.connection));
}

static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *context)
{
	struct caller_exchange *exchange = context;

	exchange->written_bytes += info->n_deleted;
	buffer_budget_charge(exchange->options.budget, info->n_added);
	buffer_budget_release(exchange->options.budget, info->n_deleted);
}

static void end_exchange(struct caller_exchange *exchange, bool is_written)
{
	evbuffer_remove_cb(output_buffer(exchange), on_output, exchange);
	buffer_budget_release(exchange->options.budget,
			      evbuffer_get_length(output_buffer(exchange)));
	timer_free(exchange->timer);
	exchange->options.on_ended(exchange->options.context,
				   exchange->options.request_id, is_written);
	g_free(exchange);
}

/* evhttp does not free a request that it has detached from its connection. */
static void on_connection_closed(void *context)
{
	struct caller_exchange *exchange = context;
	struct evhttp_request *request = exchange->options.request;

	if (!exchange->is_finished && !evhttp_request_get_connection(request))
		evhttp_request_free(request);
	end_exchange(exchange, false);
}

static void on_written(struct evhttp_request *request, void *context)
{
	struct caller_exchange *exchange = context;

	caller_connection_end_exchange(exchange->options.connection);
	end_exchange(exchange, true);
}

static void on_drained(struct evhttp_connection *http, void *context)
{
	struct caller_exchange *exchange = context;

	exchange->options.on_drained(exchange->options.context,
				     exchange->options.request_id);
}

/*
 * Resets the connection of a caller that reads less than PROGRESS_BYTES_MIN.
 * Its request would otherwise keep a concurrency slot of the target occupied.
 */
static void on_timer(void *context)
{
	struct caller_exchange *exchange = context;
	uint64_t written_bytes = exchange->written_bytes;

	exchange->written_bytes = 0;
	if (evbuffer_get_length(output_buffer(exchange)) > 0 &&
	    written_bytes < PROGRESS_BYTES_MIN)
		caller_exchange_abort(exchange);
}

/* Starts the exchange of a request that has arrived completely. */
struct caller_exchange *
caller_exchange_new(const struct caller_exchange_options *options)
{
	struct caller_exchange *exchange = g_new0(struct caller_exchange, 1);

	exchange->options = *options;
	caller_connection_begin_exchange(options->connection, exchange,
					 on_connection_closed);
	evhttp_request_set_on_complete_cb(options->request, on_written,
					  exchange);
	evbuffer_add_cb(output_buffer(exchange), on_output, exchange);
	exchange->timer = timer_new(options->task, exchange, on_timer);
	return exchange;
}

/* Returns the caller's request; valid until the exchange ends. */
struct evhttp_request *
caller_exchange_request(const struct caller_exchange *exchange)
{
	return exchange->options.request;
}

/* Returns whether any part of a response has been sent. */
bool caller_exchange_has_response_started(
	const struct caller_exchange *exchange)
{
	return exchange->has_response_started;
}

/* Sends Connection: close, unless the response has started. */
void caller_exchange_disable_keep_alive(struct caller_exchange *exchange)
{
	if (!exchange->has_response_started)
		evhttp_add_header(evhttp_request_get_output_headers(
					  exchange->options.request),
				  "Connection", "close");
}

/*
 * Without Content-Length, an HTTP/1.0 caller detects the end of the response by
 * the close of the connection, so the connection cannot be kept alive.
 */
static void disable_http10_keep_alive(struct evhttp_request *request)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(request);

	if (request->major == 1 && request->minor == 0 &&
	    !evhttp_find_header(out, "Content-Length"))
		evhttp_remove_header(evhttp_request_get_input_headers(request),
				     "Connection");
}

/* Sends the status and headers of a target's response. */
void caller_exchange_start_response(struct caller_exchange *exchange,
				    struct evhttp_request *response)
{
	struct evhttp_request *request = exchange->options.request;

	header_filter_copy(evhttp_request_get_output_headers(request),
			   evhttp_request_get_input_headers(response));
	disable_http10_keep_alive(request);
	exchange->has_response_started = true;
	timer_every(exchange->timer,
		    exchange->options.settings->stall_timeout_ms);
	evhttp_send_reply_start(
		request, evhttp_request_get_response_code(response),
		evhttp_request_get_response_code_line(response));
}

static size_t pending_limit(const struct caller_exchange *exchange)
{
	return buffer_budget_is_under_pressure(exchange->options.budget)
		       ? PENDING_BYTES_MAX_UNDER_PRESSURE
		       : PENDING_BYTES_MAX;
}

/*
 * Moves body bytes to the caller's output buffer. Returns true when the buffer
 * is full; then no more may be written until on_drained is called.
 */
bool caller_exchange_write_body(struct caller_exchange *exchange,
				struct evbuffer *bytes)
{
	if (exchange->is_aborted) {
		evbuffer_drain(bytes, evbuffer_get_length(bytes));
		return false;
	}
	evhttp_send_reply_chunk_with_cb(exchange->options.request, bytes,
					on_drained, exchange);
	return evbuffer_get_length(output_buffer(exchange)) >=
	       pending_limit(exchange);
}

/* Sends a response without a body; may call on_ended before it returns. */
void caller_exchange_send_response(struct caller_exchange *exchange, int status,
				   const char *reason_phrase)
{
	exchange->has_response_started = true;
	exchange->is_finished = true;
	timer_every(exchange->timer,
		    exchange->options.settings->stall_timeout_ms);
	evhttp_send_reply(exchange->options.request, status, reason_phrase,
			  NULL);
}

/* Completes the response; may call on_ended before it returns. */
void caller_exchange_finish_response(struct caller_exchange *exchange)
{
	if (exchange->is_aborted)
		return;
	exchange->is_finished = true;
	evhttp_send_reply_end(exchange->options.request);
}

/* Resets the connection; on_ended is called later, from the event loop. */
void caller_exchange_abort(struct caller_exchange *exchange)
{
	exchange->is_aborted = true;
	caller_connection_abort(exchange->options.connection);
}
