#ifndef TARGET_ATTEMPT_H
#define TARGET_ATTEMPT_H

#include "connection_pool.h"

#include <core/attempt_outcome.h>
#include <core/placement.h>
#include <daemon/request_settings.h>

/*
 * One attempt of a request at a target. on_headers and on_body are called as
 * the response arrives, but not after the attempt is cancelled. on_ended is
 * called once, as the last callback, also for a cancelled attempt; the owner
 * may free the attempt in it or later.
 */
struct target_attempt;

struct attempt_callbacks {
	void *context;
	void (*on_headers)(void *context, struct target_attempt *attempt,
			   struct evhttp_request *response);
	void (*on_body)(void *context, struct target_attempt *attempt,
			struct evbuffer *bytes);
	void (*on_ended)(void *context, struct target_attempt *attempt,
			 enum attempt_outcome outcome);
};

struct target_attempt_options {
	struct task *task;
	struct connection_pool *pool;
	const struct request_settings *settings;
	uint64_t request_id;
	uint64_t attempt_id;
	struct placement placement;
	int64_t deadline_ms;
	bool is_repeatable;
	/* Used only during target_attempt_new. */
	struct evhttp_request *caller_request;
	struct attempt_callbacks callbacks;
};

struct target_attempt *
target_attempt_new(const struct target_attempt_options *options);
void target_attempt_free(struct target_attempt *attempt);
void target_attempt_cancel(struct target_attempt *attempt);
bool target_attempt_is_cancelled(const struct target_attempt *attempt);
void target_attempt_pause(struct target_attempt *attempt, bool is_paused);
uint64_t target_attempt_id(const struct target_attempt *attempt);
uint64_t target_attempt_request_id(const struct target_attempt *attempt);

#endif
