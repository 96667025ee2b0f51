#ifndef CALLER_EXCHANGE_H
#define CALLER_EXCHANGE_H

#include "caller_connection.h"

/*
 * One request of a caller and the answer to it. drained runs when a full
 * buffer has been written; ended runs once, when the answer has gone out or
 * the caller has, and the exchange is freed behind it.
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
	void (*drained)(void *context, uint64_t request_id);
	void (*ended)(void *context, uint64_t request_id, bool is_written);
};

struct caller_exchange *
caller_exchange_new(const struct caller_exchange_options *options);
struct evhttp_request *
caller_exchange_request(const struct caller_exchange *exchange);
bool caller_exchange_has_begun(const struct caller_exchange *exchange);
void caller_exchange_close_after(struct caller_exchange *exchange);
void caller_exchange_begin(struct caller_exchange *exchange,
			   struct evhttp_request *answer);
bool caller_exchange_add_body(struct caller_exchange *exchange,
			      struct evbuffer *bytes);
void caller_exchange_reply(struct caller_exchange *exchange, int status,
			   const char *reason);
void caller_exchange_finish(struct caller_exchange *exchange);
void caller_exchange_cut(struct caller_exchange *exchange);

#endif
