#ifndef CALLER_EXCHANGE_H
#define CALLER_EXCHANGE_H

#include "caller_connection.h"

/*
 * One request of a caller and the response to it. on_drained is called when the
 * body bytes in the output buffer have been written. on_ended is called once,
 * when the response has been written or the connection has closed; then the
 * exchange frees itself.
 */
struct caller_exchange;

struct caller_exchange_options {
	struct task *task;
	const struct request_settings *settings;
	struct buffer_budget *budget;
	struct caller_connection *connection;
	struct evhttp_request *request;
	uint64_t request_id;
	void *context;
	void (*on_drained)(void *context, uint64_t request_id);
	void (*on_ended)(void *context, uint64_t request_id, bool is_written);
};

struct caller_exchange *
caller_exchange_new(const struct caller_exchange_options *options);
struct evhttp_request *
caller_exchange_request(const struct caller_exchange *exchange);
bool caller_exchange_has_response_started(
	const struct caller_exchange *exchange);
void caller_exchange_disable_keep_alive(struct caller_exchange *exchange);
void caller_exchange_start_response(struct caller_exchange *exchange,
				    struct evhttp_request *response);
bool caller_exchange_write_body(struct caller_exchange *exchange,
				struct evbuffer *bytes);
void caller_exchange_send_response(struct caller_exchange *exchange, int status,
				   const char *reason_phrase);
void caller_exchange_finish_response(struct caller_exchange *exchange);
void caller_exchange_abort(struct caller_exchange *exchange);

#endif
