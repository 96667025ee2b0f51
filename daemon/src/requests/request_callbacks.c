/* Implements the callbacks of the request director and of target attempts. */
#include "outcome_response.h"
#include "request_frontend_state.h"
#include "request_reader.h"

#include <daemon/claim_reply_message.h>
#include <daemon/claim_request_message.h>
#include <inttypes.h>

/* Returns the entry of an open request, or NULL. */
struct request_entry *request_frontend_entry(struct request_frontend *frontend,
					     uint64_t request_id)
{
	return g_hash_table_lookup(frontend->entries, &request_id);
}

static void cancel(void *context, uint64_t attempt_id)
{
	struct request_frontend *frontend = context;
	struct target_attempt *attempt =
		g_hash_table_lookup(frontend->attempts, &attempt_id);

	if (!attempt || target_attempt_is_cancelled(attempt))
		return;
	counter_set_add(frontend->counters, ATTEMPTS_CANCELLED, 1);
	target_attempt_cancel(attempt);
}

static void on_headers(void *context, struct target_attempt *attempt,
		       struct evhttp_request *response)
{
	struct request_frontend *frontend = context;
	struct request_entry *entry = request_frontend_entry(
		frontend, target_attempt_request_id(attempt));

	request_director_record_headers(
		frontend->director, target_attempt_id(attempt), task_now_ms());
	request_frontend_schedule_tick(frontend);
	if (!entry || entry->responding_attempt)
		return;
	entry->responding_attempt = attempt;
	if (frontend->is_draining)
		caller_exchange_disable_keep_alive(entry->exchange);
	caller_exchange_start_response(entry->exchange, response);
}

static void on_body(void *context, struct target_attempt *attempt,
		    struct evbuffer *bytes)
{
	struct request_entry *entry = request_frontend_entry(
		context, target_attempt_request_id(attempt));

	if (!entry || entry->responding_attempt != attempt)
		return;
	if (caller_exchange_write_body(entry->exchange, bytes))
		target_attempt_pause(attempt, true);
}

static void end_attempt(struct request_frontend *frontend,
			struct target_attempt *attempt,
			enum attempt_outcome outcome)
{
	struct request_entry *entry = request_frontend_entry(
		frontend, target_attempt_request_id(attempt));
	bool is_responding = entry && entry->responding_attempt == attempt;

	counter_set_add(frontend->counters, ATTEMPTS_FIRST + outcome, 1);
	if (is_responding) {
		entry->responding_attempt = NULL;
		entry->has_outcome = true;
	}
	request_director_record_end(frontend->director,
				    target_attempt_id(attempt), outcome,
				    task_now_ms());
	request_frontend_schedule_tick(frontend);
	if (is_responding && outcome == ATTEMPT_COMPLETE) {
		counter_set_add(frontend->counters, REQUESTS_ANSWERED, 1);
		caller_exchange_finish_response(entry->exchange);
	}
}

static void on_ended(void *context, struct target_attempt *attempt,
		     enum attempt_outcome outcome)
{
	struct request_frontend *frontend = context;
	uint64_t attempt_id = target_attempt_id(attempt);

	if (!target_attempt_is_cancelled(attempt))
		end_attempt(frontend, attempt, outcome);
	g_hash_table_remove(frontend->attempts, &attempt_id);
}

static void start(void *context, uint64_t request_id, uint64_t attempt_id,
		  const struct placement *placement, int64_t deadline_ms)
{
	struct request_frontend *frontend = context;
	struct request_entry *entry =
		request_frontend_entry(frontend, request_id);
	struct target_attempt_options options = {
		.task = frontend->options.task,
		.pool = frontend->pool,
		.settings = &frontend->options.settings->requests,
		.request_id = request_id,
		.attempt_id = attempt_id,
		.placement = *placement,
		.deadline_ms = deadline_ms,
		.is_repeatable = entry->is_repeatable,
		.caller_request = caller_exchange_request(entry->exchange),
		.callbacks = {.context = frontend,
			      .on_headers = on_headers,
			      .on_body = on_body,
			      .on_ended = on_ended},
	};

	counter_set_add(frontend->counters, ATTEMPTS_STARTED, 1);
	g_hash_table_insert(frontend->attempts,
			    g_memdup2(&attempt_id, sizeof(attempt_id)),
			    target_attempt_new(&options));
}

static void refuse(void *context, uint64_t request_id,
		   const struct refusal *refusal)
{
	struct request_frontend *frontend = context;
	struct request_entry *entry =
		request_frontend_entry(frontend, request_id);

	counter_set_add(frontend->counters,
			refusal->kind == REFUSAL_NOT_RUN
				? REQUESTS_NOT_RUN
				: REQUESTS_OUTCOME_UNKNOWN,
			1);
	entry->has_outcome = true;
	if (frontend->is_draining)
		caller_exchange_disable_keep_alive(entry->exchange);
	outcome_response_send_refusal(entry->exchange, refusal);
}

static void fail(void *context, uint64_t request_id, enum reason reason)
{
	struct request_frontend *frontend = context;
	struct request_entry *entry =
		request_frontend_entry(frontend, request_id);

	counter_set_add(frontend->counters, REQUESTS_ABORTED, 1);
	entry->has_outcome = true;
	log_write(frontend->log, LOG_LEVEL_WARNING, "answer_cut",
		  "request=%" PRIu64 " reason=%s", request_id,
		  reason_name(reason));
	caller_exchange_abort(entry->exchange);
}

static void log_decision(void *context, uint64_t request_id,
			 uint64_t attempt_id, const struct placement *placement)
{
	struct request_frontend *frontend = context;
	const struct rule *rule =
		rule_set_by_id(frontend->rules, placement->service_id);
	char text[ENDPOINT_TEXT_BYTES] = "none";

	if (placement->kind == PLACE_TO_TARGET)
		endpoint_format(&placement->endpoint, text);
	log_write(frontend->log, LOG_LEVEL_INFO, "routing",
		  "request=%" PRIu64 " attempt=%" PRIu64
		  " service=%s target=%s reason=%s",
		  request_id, attempt_id, rule ? rule->service.name : "none",
		  text, reason_name(placement->reason));
}

/*
 * Posts the result CLAIM_UNKNOWN to this task; used if the node has no claims
 * task or the mailbox of that task is full.
 */
static void post_claim_unknown(struct request_frontend *frontend,
			       uint64_t request_id)
{
	struct message *reply =
		claim_reply_message_new(request_id, CLAIM_UNKNOWN);

	task_post_or_free(frontend->options.task, reply);
}

static bool post_claim(struct request_frontend *frontend,
		       enum claim_action action,
		       const struct request_info *info)
{
	struct message *request;

	if (!frontend->options.claims)
		return false;
	request =
		claim_request_message_new(action, info, frontend->options.task);
	if (task_post(frontend->options.claims, request) == POST_ACCEPTED)
		return true;
	message_free(request);
	return false;
}

static void claim(void *context, const struct request_info *info)
{
	struct request_frontend *frontend = context;

	if (!post_claim(frontend, CLAIM_ACTION_CLAIM, info))
		post_claim_unknown(frontend, info->request_id);
}

static void release(void *context, const struct request_info *info)
{
	post_claim(context, CLAIM_ACTION_RELEASE, info);
}

static void settle(void *context, const struct request_info *info)
{
	post_claim(context, CLAIM_ACTION_SETTLE, info);
}

/* Fills in the callbacks of the request director. */
void request_callbacks_fill(struct request_callbacks *callbacks,
			    struct request_frontend *frontend)
{
	*callbacks = (struct request_callbacks){
		.context = frontend,
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
