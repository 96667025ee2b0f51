/* What the request director wants done, and what it is told. */
#include "outcome_reply.h"
#include "request_front_state.h"
#include "request_reader.h"

#include <daemon/claim_reply_message.h>
#include <daemon/claim_request_message.h>
#include <inttypes.h>

/* Returns the entry of an open request, or NULL. */
struct request_entry *request_front_entry(struct request_front *front,
					  uint64_t request_id)
{
	return g_hash_table_lookup(front->entries, &request_id);
}

static void cancel(void *context, uint64_t attempt_id)
{
	struct request_front *front = context;
	struct target_attempt *attempt =
		g_hash_table_lookup(front->attempts, &attempt_id);

	if (!attempt || target_attempt_is_cancelled(attempt))
		return;
	counter_set_add(front->counters, ATTEMPTS_CANCELLED, 1);
	target_attempt_cancel(attempt);
}

static void on_headers(void *context, struct target_attempt *attempt,
		       struct evhttp_request *answer)
{
	struct request_front *front = context;
	struct request_entry *entry =
		request_front_entry(front, target_attempt_request_id(attempt));

	request_director_headers(front->director, target_attempt_id(attempt),
				 task_now_ms());
	request_front_turn_soon(front);
	if (!entry || entry->answering)
		return;
	entry->answering = attempt;
	if (front->is_draining)
		caller_exchange_close_after(entry->exchange);
	caller_exchange_begin(entry->exchange, answer);
}

static void on_body(void *context, struct target_attempt *attempt,
		    struct evbuffer *bytes)
{
	struct request_entry *entry = request_front_entry(
		context, target_attempt_request_id(attempt));

	if (!entry || entry->answering != attempt)
		return;
	if (caller_exchange_add_body(entry->exchange, bytes))
		target_attempt_pause(attempt, true);
}

static void conclude(struct request_front *front,
		     struct target_attempt *attempt,
		     enum attempt_outcome outcome)
{
	struct request_entry *entry =
		request_front_entry(front, target_attempt_request_id(attempt));
	bool is_answering = entry && entry->answering == attempt;

	counter_set_add(front->counters, ATTEMPTS_FIRST + outcome, 1);
	if (is_answering) {
		entry->answering = NULL;
		entry->is_decided = true;
	}
	request_director_ended(front->director, target_attempt_id(attempt),
			       outcome, task_now_ms());
	request_front_turn_soon(front);
	if (is_answering && outcome == ATTEMPT_COMPLETE) {
		counter_set_add(front->counters, REQUESTS_ANSWERED, 1);
		caller_exchange_finish(entry->exchange);
	}
}

static void on_ended(void *context, struct target_attempt *attempt,
		     enum attempt_outcome outcome)
{
	struct request_front *front = context;
	uint64_t attempt_id = target_attempt_id(attempt);

	if (!target_attempt_is_cancelled(attempt))
		conclude(front, attempt, outcome);
	g_hash_table_remove(front->attempts, &attempt_id);
}

static void start(void *context, uint64_t request_id, uint64_t attempt_id,
		  const struct placement *placement, int64_t deadline_ms)
{
	struct request_front *front = context;
	struct request_entry *entry = request_front_entry(front, request_id);
	struct target_attempt_options options = {
		.task = front->options.task,
		.pool = front->pool,
		.settings = &front->options.settings->requests,
		.request_id = request_id,
		.attempt_id = attempt_id,
		.placement = *placement,
		.deadline_ms = deadline_ms,
		.is_repeatable = entry->is_repeatable,
		.from_caller = caller_exchange_request(entry->exchange),
		.events = {.context = front,
			   .headers = on_headers,
			   .body = on_body,
			   .ended = on_ended},
	};

	counter_set_add(front->counters, ATTEMPTS_STARTED, 1);
	g_hash_table_insert(front->attempts,
			    g_memdup2(&attempt_id, sizeof(attempt_id)),
			    target_attempt_new(&options));
}

static void refuse(void *context, uint64_t request_id,
		   const struct refusal *refusal)
{
	struct request_front *front = context;
	struct request_entry *entry = request_front_entry(front, request_id);

	counter_set_add(front->counters,
			refusal->kind == REFUSAL_NOT_RUN ? REQUESTS_NOT_RUN
							 : REQUESTS_UNKNOWN,
			1);
	entry->is_decided = true;
	if (front->is_draining)
		caller_exchange_close_after(entry->exchange);
	outcome_reply_refusal(entry->exchange, refusal);
}

static void fail(void *context, uint64_t request_id, enum reason reason)
{
	struct request_front *front = context;
	struct request_entry *entry = request_front_entry(front, request_id);

	counter_set_add(front->counters, REQUESTS_CUT, 1);
	entry->is_decided = true;
	log_write(front->log, LOG_LEVEL_WARNING, "answer_cut",
		  "request=%" PRIu64 " reason=%s", request_id,
		  reason_name(reason));
	caller_exchange_cut(entry->exchange);
}

static void log_decision(void *context, uint64_t request_id,
			 uint64_t attempt_id, const struct placement *placement)
{
	struct request_front *front = context;
	const struct rule *rule =
		rule_set_by_id(front->rules, placement->service_id);
	char text[ENDPOINT_TEXT_BYTES] = "none";

	if (placement->kind == PLACE_TO_TARGET)
		endpoint_format(&placement->endpoint, text);
	log_write(front->log, LOG_LEVEL_INFO, "routing",
		  "request=%" PRIu64 " attempt=%" PRIu64
		  " service=%s target=%s reason=%s",
		  request_id, attempt_id, rule ? rule->service.name : "none",
		  text, reason_name(placement->reason));
}

/* Nobody to ask, or no room to ask: then nothing is known of the key. */
static void claim_unknown(struct request_front *front, uint64_t request_id)
{
	struct message *reply =
		claim_reply_message_new(request_id, CLAIM_UNKNOWN);

	task_post_or_free(front->options.task, reply);
}

static bool post_claim(struct request_front *front, enum claim_action action,
		       const struct request_info *info)
{
	struct message *request;

	if (!front->options.claims)
		return false;
	request = claim_request_message_new(action, info, front->options.task);
	if (task_post(front->options.claims, request) == POST_TAKEN)
		return true;
	message_free(request);
	return false;
}

static void claim(void *context, const struct request_info *info)
{
	struct request_front *front = context;

	if (!post_claim(front, CLAIM_ACTION_ASK, info))
		claim_unknown(front, info->request_id);
}

static void release(void *context, const struct request_info *info)
{
	post_claim(context, CLAIM_ACTION_RELEASE, info);
}

static void settle(void *context, const struct request_info *info)
{
	post_claim(context, CLAIM_ACTION_SETTLE, info);
}

/* Fills in what the director calls. */
void request_effects_fill(struct request_effects *effects,
			  struct request_front *front)
{
	*effects = (struct request_effects){
		.context = front,
		.start = start,
		.cancel = cancel,
		.refuse = refuse,
		.fail = fail,
		.claim = claim,
		.release = release,
		.settle = settle,
		.log = log_decision,
	};
}
