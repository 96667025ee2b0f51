#include "target_attempt.h"

#include "header_filter.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <string.h>
#include <task/timer.h>

#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_SERVICE_UNAVAILABLE 503
#define DECIMAL_TEXT_BYTES 24

struct target_attempt {
	struct target_attempt_options options;
	struct target_connection *connection;
	struct timer *timer;
	/* Calls on_ended outside evhttp's callbacks. */
	struct event *finish_event;
	enum evhttp_cmd_type method;
	enum attempt_outcome outcome;
	int64_t start_ms;
	int64_t headers_ms;
	/* Body bytes received since check_progress last ran. */
	uint64_t progress_bytes;
	enum evhttp_request_error error;
	bool has_error;
	bool has_headers;
	bool is_paused;
	bool is_finished;
	bool is_cancelled;
};

static void finish(struct target_attempt *attempt, enum attempt_outcome outcome)
{
	if (attempt->is_finished)
		return;
	attempt->is_finished = true;
	attempt->outcome = outcome;
	timer_cancel(attempt->timer);
	event_active(attempt->finish_event, EV_TIMEOUT, 0);
}

/* Returns the connection to the pool only after a complete response. */
static void release_connection(struct target_attempt *attempt)
{
	struct target_connection *connection = attempt->connection;

	attempt->connection = NULL;
	if (attempt->outcome == ATTEMPT_COMPLETE && !attempt->is_cancelled)
		connection_pool_release(attempt->options.pool, connection);
	else
		target_connection_free(connection);
}

static void on_finish(evutil_socket_t fd, short what, void *context)
{
	struct target_attempt *attempt = context;
	const struct attempt_callbacks *callbacks = &attempt->options.callbacks;

	release_connection(attempt);
	callbacks->on_ended(callbacks->context, attempt, attempt->outcome);
}

static enum attempt_outcome
failure_outcome(const struct target_attempt *attempt)
{
	if (target_connection_sent_bytes(attempt->connection) == 0)
		return ATTEMPT_NOT_SENT;
	if (attempt->has_headers)
		return ATTEMPT_TRUNCATED;
	if (attempt->has_error &&
	    (attempt->error == EVREQ_HTTP_INVALID_HEADER ||
	     attempt->error == EVREQ_HTTP_DATA_TOO_LONG))
		return ATTEMPT_MALFORMED;
	return ATTEMPT_RESET;
}

static void on_error(enum evhttp_request_error error, void *context)
{
	struct target_attempt *attempt = context;

	attempt->error = error;
	attempt->has_error = true;
}

static void on_complete(struct evhttp_request *response, void *context)
{
	struct target_attempt *attempt = context;
	bool is_complete = response && attempt->has_headers &&
			   !attempt->has_error &&
			   evhttp_request_get_response_code(response) != 0;

	finish(attempt,
	       is_complete ? ATTEMPT_COMPLETE : failure_outcome(attempt));
}

/* Returns whether the target refused the request without running it. */
static bool is_shed(struct evhttp_request *response)
{
	const char *outcome = evhttp_find_header(
		evhttp_request_get_input_headers(response), "Shallot-Outcome");

	return evhttp_request_get_response_code(response) ==
		       STATUS_SERVICE_UNAVAILABLE &&
	       outcome && strcmp(outcome, "not-run") == 0;
}

static bool has_no_body(const struct target_attempt *attempt, int status)
{
	return attempt->method == EVHTTP_REQ_HEAD ||
	       status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
}

static bool has_valid_reason_phrase(struct evhttp_request *response)
{
	const char *reason = evhttp_request_get_response_code_line(response);

	return !reason || header_filter_is_valid_value(reason);
}

/*
 * A body delimited by the close of the connection cannot be told from a
 * truncated one, so a response with a body needs Content-Length or chunked
 * coding.
 */
static bool is_acceptable(const struct target_attempt *attempt,
			  struct evhttp_request *response)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(response);
	enum body_framing framing = header_filter_parse_framing(headers);
	int status = evhttp_request_get_response_code(response);

	if (status < STATUS_FINAL_MIN || status > STATUS_MAX ||
	    framing == FRAMING_INVALID || !header_filter_is_valid(headers) ||
	    !has_valid_reason_phrase(response))
		return false;
	return framing != FRAMING_NONE || has_no_body(attempt, status);
}

static int on_headers(struct evhttp_request *response, void *context)
{
	struct target_attempt *attempt = context;
	const struct attempt_callbacks *callbacks = &attempt->options.callbacks;

	if (attempt->is_finished)
		return -1;
	if (is_shed(response)) {
		finish(attempt, ATTEMPT_SHED);
		return -1;
	}
	if (!is_acceptable(attempt, response)) {
		finish(attempt, ATTEMPT_MALFORMED);
		return -1;
	}
	attempt->has_headers = true;
	attempt->headers_ms = task_now_ms();
	timer_every(attempt->timer,
		    attempt->options.settings->stall_timeout_ms);
	callbacks->on_headers(callbacks->context, attempt, response);
	return attempt->is_finished ? -1 : 0;
}

static void on_body(struct evhttp_request *response, void *context)
{
	struct target_attempt *attempt = context;
	const struct attempt_callbacks *callbacks = &attempt->options.callbacks;
	struct evbuffer *bytes = evhttp_request_get_input_buffer(response);

	if (attempt->is_finished)
		return;
	attempt->progress_bytes += evbuffer_get_length(bytes);
	callbacks->on_body(callbacks->context, attempt, bytes);
}

/*
 * Used until the response headers arrive: enforces connect_timeout_ms while
 * nothing has been sent, and the deadline.
 */
static void check_deadline(struct target_attempt *attempt)
{
	const struct target_attempt_options *options = &attempt->options;
	int64_t now_ms = task_now_ms();
	bool is_sent = target_connection_sent_bytes(attempt->connection) > 0;

	if (!is_sent &&
	    now_ms - attempt->start_ms >= options->settings->connect_timeout_ms)
		finish(attempt, ATTEMPT_NOT_SENT);
	else if (now_ms >= options->deadline_ms)
		finish(attempt, is_sent ? ATTEMPT_TIMEOUT : ATTEMPT_NOT_SENT);
	else
		timer_once(attempt->timer,
			   (uint32_t)(options->deadline_ms - now_ms));
}

/*
 * Used once the response headers have arrived: enforces answer_timeout_ms and,
 * unless the attempt is paused, stall_timeout_ms.
 */
static void check_progress(struct target_attempt *attempt)
{
	const struct request_settings *settings = attempt->options.settings;
	bool is_stalled = !attempt->is_paused && attempt->progress_bytes == 0;
	bool is_timed_out = task_now_ms() - attempt->headers_ms >=
			    settings->answer_timeout_ms;

	attempt->progress_bytes = 0;
	if (is_stalled || is_timed_out)
		finish(attempt, ATTEMPT_TRUNCATED);
}

static void on_timer(void *context)
{
	struct target_attempt *attempt = context;

	if (attempt->has_headers)
		check_progress(attempt);
	else
		check_deadline(attempt);
}

static void arm_timer(struct target_attempt *attempt)
{
	const struct target_attempt_options *options = &attempt->options;
	int64_t remaining_ms = options->deadline_ms - attempt->start_ms;

	timer_once(attempt->timer,
		   (uint32_t)CLAMP(remaining_ms, 0,
				   options->settings->connect_timeout_ms));
}

static void set_decimal_header(struct evkeyvalq *headers, const char *name,
			       uint64_t value)
{
	char text[DECIMAL_TEXT_BYTES];

	g_snprintf(text, sizeof(text), "%" PRIu64, value);
	evhttp_remove_header(headers, name);
	evhttp_add_header(headers, name, text);
}

/* The body is a reference to the caller's buffer, which a retry needs too. */
static bool fill_request(const struct target_attempt *attempt,
			 struct evhttp_request *request)
{
	const struct target_attempt_options *options = &attempt->options;
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	struct evbuffer *body =
		evhttp_request_get_input_buffer(options->caller_request);
	int64_t remaining_ms = options->deadline_ms - attempt->start_ms;

	if (!header_filter_copy(headers, evhttp_request_get_input_headers(
						 options->caller_request)))
		return false;
	set_decimal_header(headers, "Shallot-Deadline-Ms",
			   (uint64_t)MAX(remaining_ms, 0));
	if (evbuffer_get_length(body) == 0)
		return true;
	set_decimal_header(headers, "Content-Length",
			   evbuffer_get_length(body));
	return evbuffer_add_buffer_reference(
		       evhttp_request_get_output_buffer(request), body) == 0;
}

/* Returns false if the request could not be sent. */
static bool send_request(struct target_attempt *attempt)
{
	struct evhttp_request *caller_request = attempt->options.caller_request;
	struct evhttp_request *request =
		evhttp_request_new(on_complete, attempt);

	evhttp_request_set_header_cb(request, on_headers);
	evhttp_request_set_chunked_cb(request, on_body);
	evhttp_request_set_error_cb(request, on_error);
	if (!fill_request(attempt, request)) {
		evhttp_request_free(request);
		return false;
	}
	return target_connection_send(attempt->connection, request,
				      attempt->method,
				      evhttp_request_get_uri(caller_request));
}

/* Starts an attempt; no callback runs before this returns. */
struct target_attempt *
target_attempt_new(const struct target_attempt_options *options)
{
	struct target_attempt *attempt = g_new0(struct target_attempt, 1);

	attempt->options = *options;
	attempt->start_ms = task_now_ms();
	attempt->method = evhttp_request_get_command(options->caller_request);
	attempt->connection = connection_pool_acquire(
		options->pool, options->placement.target_id,
		&options->placement.endpoint, !options->is_repeatable);
	attempt->timer = timer_new(options->task, attempt, on_timer);
	attempt->finish_event =
		event_new(task_base(options->task), -1, 0, on_finish, attempt);
	arm_timer(attempt);
	if (!send_request(attempt))
		finish(attempt, ATTEMPT_NOT_SENT);
	return attempt;
}

/* Frees an attempt; must not be called from on_headers or on_body. */
void target_attempt_free(struct target_attempt *attempt)
{
	if (!attempt)
		return;
	target_connection_free(attempt->connection);
	timer_free(attempt->timer);
	event_free(attempt->finish_event);
	g_free(attempt);
}

/* Cancels an attempt; on_ended is called later, from the event loop. */
void target_attempt_cancel(struct target_attempt *attempt)
{
	attempt->is_cancelled = true;
	finish(attempt, ATTEMPT_RESET);
}

/* Returns whether the attempt is cancelled, so that its outcome is ignored. */
bool target_attempt_is_cancelled(const struct target_attempt *attempt)
{
	return attempt->is_cancelled;
}

/*
 * Stops reading the response while the caller reads it too slowly, or resumes
 * reading.
 */
void target_attempt_pause(struct target_attempt *attempt, bool is_paused)
{
	if (attempt->is_finished || attempt->is_paused == is_paused)
		return;
	attempt->is_paused = is_paused;
	/* Counts as progress, so that a pause is not mistaken for a stall. */
	attempt->progress_bytes++;
	target_connection_pause(attempt->connection, is_paused);
}

/* Returns the id of the attempt, by which late events are recognized. */
uint64_t target_attempt_id(const struct target_attempt *attempt)
{
	return attempt->options.attempt_id;
}

/* Returns the id of the request that the attempt belongs to. */
uint64_t target_attempt_request_id(const struct target_attempt *attempt)
{
	return attempt->options.request_id;
}
