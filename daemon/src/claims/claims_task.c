#include <daemon/claims_task.h>

#include <core/claim_director.h>
#include <daemon/claim_reply_message.h>
#include <daemon/claim_request_message.h>
#include <daemon/control_message.h>
#include <daemon/metrics_message.h>
#include <daemon/roster_message.h>
#include <daemon/task_log.h>
#include <inttypes.h>
#include <task/counter_set.h>
#include <task/log.h>
#include <task/timer.h>
#include <wire/claim_codec.h>

/*
 * If the mailbox is full, claims of this node's requests are CLAIM_UNKNOWN, and
 * other nodes resend their messages.
 */
#define MAILBOX_CAPACITY 4096
#define CLAIM_CAPACITY 200000

/* Pending claims of this node's requests; any more are CLAIM_UNKNOWN. */
#define PENDING_CLAIM_LIMIT 4096

#define KEY_LIFETIME_MS 600000
#define LEASE_MS 30000

enum claims_counter {
	CLAIMS_GRANTED,
	CLAIMS_TAKEN,
	CLAIMS_UNKNOWN,
	CLAIMS_RELEASED,
	CLAIMS_MESSAGES_SENT,
	CLAIMS_MESSAGES_NOT_SENT,
	CLAIMS_MESSAGE_BYTES_SENT,
	CLAIMS_MESSAGES_MALFORMED,
	CLAIMS_ROSTER_EPOCH,
	CLAIMS_COUNTER_COUNT,
};

static const struct counter_row counter_rows[CLAIMS_COUNTER_COUNT] = {
	[CLAIMS_GRANTED] = {"shallot_claims_total{result=\"granted\"}",
			    "Idempotency keys asked for, by result.",
			    COUNTER_TOTAL},
	[CLAIMS_TAKEN] = {"shallot_claims_total{result=\"taken\"}",
			  "Idempotency keys asked for, by result.",
			  COUNTER_TOTAL},
	[CLAIMS_UNKNOWN] = {"shallot_claims_total{result=\"unknown\"}",
			    "Idempotency keys asked for, by result.",
			    COUNTER_TOTAL},
	[CLAIMS_RELEASED] = {"shallot_claims_released_total",
			     "Idempotency keys given back.", COUNTER_TOTAL},
	[CLAIMS_MESSAGES_SENT] =
		{"shallot_claim_messages_sent_total",
		 "Messages about claims given to the control task.",
		 COUNTER_TOTAL},
	[CLAIMS_MESSAGES_NOT_SENT] =
		{"shallot_claim_messages_not_sent_total",
		 "Messages about claims that found it full.", COUNTER_TOTAL},
	[CLAIMS_MESSAGE_BYTES_SENT] = {"shallot_claim_bytes_sent_total",
				       "Bytes of messages about claims.",
				       COUNTER_TOTAL},
	[CLAIMS_MESSAGES_MALFORMED] =
		{"shallot_claim_messages_malformed_total",
		 "Messages about claims that were unreadable.", COUNTER_TOTAL},
	[CLAIMS_ROSTER_EPOCH] = {"shallot_claim_roster_epoch",
				 "Epoch of the roster of claim holders.",
				 COUNTER_GAUGE},
};

/* A request that waits for the result of its claim. */
struct pending_claim {
	uint64_t request_id;
	struct task *reply_to;
};

struct claims_task {
	struct claims_task_options options;
	struct task *task;
	struct timer *timer;
	struct claim_director *director;
	GHashTable *pending_claims;
	struct counter_set *counters;
	struct log *log;
};

static bool post_or_free(struct task *task, struct message *message)
{
	if (task && task_post(task, message) == POST_ACCEPTED)
		return true;
	message_free(message);
	return false;
}

static void on_send(void *context, uint64_t to_node_id,
		    const struct claim_message *message)
{
	struct claims_task *claims = context;
	GByteArray *bytes = claim_codec_encode(message, NULL);
	bool is_sent;

	if (!bytes) {
		counter_set_add(claims->counters, CLAIMS_MESSAGES_NOT_SENT, 1);
		return;
	}
	is_sent = post_or_free(
		claims->options.control,
		control_message_new(&control_out_type, to_node_id,
				    claim_codec_procedure(message->kind),
				    bytes->data, bytes->len));
	counter_set_add(
		claims->counters,
		is_sent ? CLAIMS_MESSAGES_SENT : CLAIMS_MESSAGES_NOT_SENT, 1);
	if (is_sent)
		counter_set_add(claims->counters, CLAIMS_MESSAGE_BYTES_SENT,
				bytes->len);
	g_byte_array_free(bytes, TRUE);
}

static const struct {
	const char *name;
	enum claims_counter counter;
} results[] = {
	[CLAIM_GRANTED] = {"granted", CLAIMS_GRANTED},
	[CLAIM_TAKEN] = {"taken", CLAIMS_TAKEN},
	[CLAIM_UNKNOWN] = {"unknown", CLAIMS_UNKNOWN},
};

/*
 * Posts the result to the task that waits for it. If its mailbox is full, the
 * result is dropped and the request times out.
 */
static void on_result(void *context, uint64_t request_id,
		      enum claim_result result)
{
	struct claims_task *claims = context;
	struct pending_claim *pending_claim =
		g_hash_table_lookup(claims->pending_claims, &request_id);

	counter_set_add(claims->counters, results[result].counter, 1);
	log_write(claims->log, LOG_LEVEL_INFO, "claim",
		  "request=%" PRIu64 " result=%s epoch=%" PRIu64, request_id,
		  results[result].name,
		  claim_director_roster(claims->director)->epoch);
	if (!pending_claim)
		return;
	post_or_free(pending_claim->reply_to,
		     claim_reply_message_new(request_id, result));
	g_hash_table_remove(claims->pending_claims, &request_id);
}

static void start_claim(struct claims_task *claims,
			const struct claim_request_message *request,
			int64_t now_ms)
{
	struct pending_claim *pending_claim = g_new(struct pending_claim, 1);

	pending_claim->request_id = request->request_id;
	pending_claim->reply_to = request->reply_to;
	g_hash_table_replace(claims->pending_claims, &pending_claim->request_id,
			     pending_claim);
	claim_director_claim(claims->director, request->request_id,
			     request->key, now_ms);
}

static void handle_request(struct claims_task *claims,
			   const struct claim_request_message *request,
			   int64_t now_ms)
{
	switch (request->action) {
	case CLAIM_ACTION_CLAIM:
		start_claim(claims, request, now_ms);
		break;
	case CLAIM_ACTION_RELEASE:
		counter_set_add(claims->counters, CLAIMS_RELEASED, 1);
		g_hash_table_remove(claims->pending_claims,
				    &request->request_id);
		claim_director_release(claims->director, request->request_id,
				       request->key, now_ms);
		break;
	case CLAIM_ACTION_SETTLE:
		/* Nothing to do: a claim stays until its lifetime ends. */
		break;
	}
}

static void handle_control(struct claims_task *claims,
			   const struct control_message *control,
			   int64_t now_ms)
{
	struct claim_message message;

	if (!claim_codec_decode(&message, control->procedure, control->bytes,
				control->length_bytes, NULL)) {
		counter_set_add(claims->counters, CLAIMS_MESSAGES_MALFORMED, 1);
		return;
	}
	claim_director_handle_message(claims->director, control->node_id,
				      &message, now_ms);
}

static void handle_roster(struct claims_task *claims,
			  const struct roster_message *message, int64_t now_ms)
{
	log_write(claims->log, LOG_LEVEL_NOTICE, "roster",
		  "epoch=%" PRIu64 " members=%u", message->roster.epoch,
		  message->roster.epochs[0].member_count);
	claim_director_set_roster(claims->director, &message->roster, now_ms);
}

/* Runs the director's due work and sets the timer for its next deadline. */
static void tick(void *context)
{
	struct claims_task *claims = context;
	int64_t now_ms = task_now_ms();
	int64_t next_ms = claim_director_tick(claims->director, now_ms);

	counter_set_assign(claims->counters, CLAIMS_ROSTER_EPOCH,
			   claim_director_roster(claims->director)->epoch);
	if (next_ms == INT64_MAX)
		timer_cancel(claims->timer);
	else
		timer_once(claims->timer, (uint32_t)MAX(next_ms - now_ms, 1));
}

static void handle(void *context, struct message *message)
{
	struct claims_task *claims = context;
	int64_t now_ms = task_now_ms();

	if (message->type == &claim_request_message_type)
		handle_request(claims, (struct claim_request_message *)message,
			       now_ms);
	else if (message->type == &control_in_type)
		handle_control(claims, (struct control_message *)message,
			       now_ms);
	else if (message->type == &roster_message_type)
		handle_roster(claims, (struct roster_message *)message, now_ms);
	else if (message->type == &metrics_request_type)
		metrics_request_reply(message, claims->counters);
	message_free(message);
	tick(claims);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct claims_task *claims = context;

	claims->timer = timer_new(task, claims, tick);
	return true;
}

static void stop(void *context)
{
	struct claims_task *claims = context;

	timer_free(claims->timer);
	claims->timer = NULL;
}

static void init_state(struct claims_task *claims)
{
	struct claim_director_options director_options = {
		.node_id = claims->options.node_id,
		.capacity = CLAIM_CAPACITY,
		.round_limit = PENDING_CLAIM_LIMIT,
		.lifetime_ms = KEY_LIFETIME_MS,
		.lease_ms = LEASE_MS,
		.callbacks = {claims, on_send, on_result},
	};

	claims->director = claim_director_new(&director_options);
	claims->pending_claims = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	claims->counters = counter_set_new(counter_rows, CLAIMS_COUNTER_COUNT);
	claims->log = task_log_new(claims->options.settings, "claims");
}

/*
 * Creates the task; it is not started yet. The settings and the control task
 * must outlive it. Free it with claims_task_free. Fails with TASK_ERROR.
 */
struct claims_task *claims_task_new(const struct claims_task_options *options,
				    GError **error)
{
	struct claims_task *claims = g_new0(struct claims_task, 1);
	struct task_options task_options = {
		.name = "claims",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = claims,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	claims->options = *options;
	init_state(claims);
	claims->task = task_new(&task_options, error);
	if (claims->task)
		return claims;
	claims_task_free(claims);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void claims_task_free(struct claims_task *claims)
{
	if (!claims)
		return;
	task_free(claims->task);
	claim_director_free(claims->director);
	g_hash_table_destroy(claims->pending_claims);
	counter_set_free(claims->counters);
	log_free(claims->log);
	g_free(claims);
}

/* Returns the task, to start it and to post messages to it. */
struct task *claims_task_task(struct claims_task *claims)
{
	return claims->task;
}
