#ifndef CORE_REQUEST_DIRECTOR_H
#define CORE_REQUEST_DIRECTOR_H

#include <core/attempt_outcome.h>
#include <core/placement.h>
#include <core/refusal.h>
#include <core/request_info.h>
#include <core/rule_set.h>
#include <glib.h>

/*
 * Makes every decision about requests on one node: admission, queues, limits,
 * attempts, retries, cancellation and drain. A frontend passes in events with
 * now_ms, carries out the actions that the director requests through its
 * callbacks, and reports how attempts end.
 */
struct request_director;

/*
 * The actions that a director requests from its frontend. start: send attempt
 * attempt_id of request_id to the placement's target, with the deadline.
 * cancel: stop an attempt; its later events are ignored. refuse: send the
 * refusal to the caller and drop the request. fail: close the caller's
 * connection, because part of the response has been forwarded. claim: ask the
 * key's holders whether the request may run, then call
 * request_director_handle_claim_result. release: tell the holders that the
 * key's request did not run. settle: the request may have run, so its key stays
 * claimed. log: write one line about a decision. Callbacks must not call the
 * director.
 */
struct request_callbacks {
	void *context;
	void (*start)(void *context, uint64_t request_id, uint64_t attempt_id,
		      const struct placement *placement, int64_t deadline_ms);
	void (*cancel)(void *context, uint64_t attempt_id);
	void (*refuse)(void *context, uint64_t request_id,
		       const struct refusal *refusal);
	void (*fail)(void *context, uint64_t request_id, enum reason reason);
	void (*claim)(void *context, const struct request_info *info);
	void (*release)(void *context, const struct request_info *info);
	void (*settle)(void *context, const struct request_info *info);
	void (*log)(void *context, uint64_t request_id, uint64_t attempt_id,
		    const struct placement *placement);
};

/*
 * request_limit: the maximum number of open requests. queue_limit: the maximum
 * number of waiting requests in each queue.
 */
struct request_director_options {
	uint64_t seed;
	uint32_t request_limit;
	uint32_t queue_limit;
	/* The number of live nodes in the node view; they share the targets. */
	uint32_t node_count;
	struct request_callbacks callbacks;
};

/* The result of claiming an idempotency key at a majority of its holders. */
enum claim_result {
	CLAIM_GRANTED,
	CLAIM_TAKEN,
	/* The holders did not decide in time, or could not be asked. */
	CLAIM_UNKNOWN,
};

struct request_director *
request_director_new(const struct request_director_options *options);
void request_director_free(struct request_director *director);
void request_director_set_rules(struct request_director *director,
				const struct rule_set *rules, int64_t now_ms);
void request_director_set_node_count(struct request_director *director,
				     uint32_t node_count);
void request_director_set_target_state(struct request_director *director,
				       uint64_t target_id,
				       enum target_state state, int64_t now_ms);
void request_director_submit(struct request_director *director,
			     const struct request_info *info, int64_t now_ms);
void request_director_handle_claim_result(struct request_director *director,
					  uint64_t request_id,
					  enum claim_result result,
					  int64_t now_ms);
void request_director_record_headers(struct request_director *director,
				     uint64_t attempt_id, int64_t now_ms);
void request_director_record_end(struct request_director *director,
				 uint64_t attempt_id,
				 enum attempt_outcome outcome, int64_t now_ms);
void request_director_handle_disconnect(struct request_director *director,
					uint64_t request_id, int64_t now_ms);
void request_director_drain(struct request_director *director, int64_t now_ms);
uint32_t request_director_open_count(const struct request_director *director);
int64_t request_director_tick(struct request_director *director,
			      int64_t now_ms);

#endif
