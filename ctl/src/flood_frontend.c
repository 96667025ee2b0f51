/* The frontend of the flood benchmark: connects nodes and targets. */
#include "flood_state.h"

#define HOP_DELAY_MS 1

static void deliver_job(void *context)
{
	struct flood_job *job = context;

	flood_target_submit(job->target, job);
}

/* Drops one of a job's two references: its target's or live_attempts'. */
static void unref_job(struct flood_fleet *fleet, struct flood_job *job)
{
	struct flood_request *request = job->request;

	if (--job->refs > 0)
		return;
	g_hash_table_remove(fleet->jobs, job);
	flood_request_unref(request);
}

static struct flood_target *target_at(struct flood_fleet *fleet,
				      const struct endpoint *endpoint)
{
	/* Target n listens on 10.1.0.n. */
	return &fleet->targets[endpoint->addr.bytes[3] - 1];
}

static void on_start(void *context, uint64_t request_id, uint64_t attempt_id,
		     const struct placement *placement, int64_t deadline_ms)
{
	struct flood_node *node = context;
	struct flood_fleet *fleet = node->fleet;
	struct flood_request *request =
		g_hash_table_lookup(fleet->open_requests, &request_id);
	struct flood_job *job = g_new0(struct flood_job, 1);

	job->attempt_id = attempt_id;
	job->node_id = node->node_id;
	job->request = flood_request_ref(request);
	job->target = target_at(fleet, &placement->endpoint);
	job->work_ms = request->operation->work_ms;
	job->refs = 2;
	g_hash_table_add(fleet->jobs, job);
	g_hash_table_insert(node->live_attempts, &job->attempt_id, job);
	fleet->stats.attempts++;
	driver_schedule(fleet->driver, HOP_DELAY_MS, job, deliver_job);
}

static void on_cancel(void *context, uint64_t attempt_id)
{
	struct flood_node *node = context;
	struct flood_job *job =
		g_hash_table_lookup(node->live_attempts, &attempt_id);

	if (!job)
		return;
	job->is_cancelled = true;
	g_hash_table_remove(node->live_attempts, &attempt_id);
	unref_job(node->fleet, job);
}

static struct flood_request *close_request(struct flood_node *node,
					   uint64_t request_id)
{
	struct flood_request *request =
		g_hash_table_lookup(node->fleet->open_requests, &request_id);

	if (!request || !request->is_open)
		return NULL;
	request->is_open = false;
	return request;
}

static void on_refuse(void *context, uint64_t request_id,
		      const struct refusal *refusal)
{
	struct flood_node *node = context;
	struct flood_request *request = close_request(node, request_id);

	if (request)
		flood_callers_handle_refusal(node->fleet, request,
					     refusal->kind);
}

static void on_fail(void *context, uint64_t request_id, enum reason reason)
{
	struct flood_node *node = context;
	struct flood_request *request = close_request(node, request_id);

	if (request)
		flood_callers_handle_disconnect(node->fleet, request);
}

static void on_claim(void *context, const struct request_info *info)
{
	struct flood_node *node = context;

	node->fleet->stats.claims_requested++;
	claim_director_claim(node->claims, info->request_id,
			     info->idempotency_key_hash,
			     driver_now_ms(node->fleet->driver));
}

static void on_release(void *context, const struct request_info *info)
{
	struct flood_node *node = context;

	claim_director_release(node->claims, info->request_id,
			       info->idempotency_key_hash,
			       driver_now_ms(node->fleet->driver));
}

static void on_settle(void *context, const struct request_info *info)
{
}

static void on_log(void *context, uint64_t request_id, uint64_t attempt_id,
		   const struct placement *placement)
{
}

/* Returns the callbacks that connect a node's director to this frontend. */
struct request_callbacks flood_frontend_callbacks(struct flood_node *node)
{
	return (struct request_callbacks){
		.context = node,
		.start = on_start,
		.cancel = on_cancel,
		.refuse = on_refuse,
		.fail = on_fail,
		.claim = on_claim,
		.release = on_release,
		.settle = on_settle,
		.log = on_log,
	};
}

/*
 * Counts an execution. At most one is allowed of an operation that isn't
 * idempotent, and none of a request that was reported as not run.
 */
static void on_job_started(void *context, struct flood_job *job)
{
	struct flood_fleet *fleet = context;
	struct flood_operation *operation = job->request->operation;

	operation->execution_count++;
	job->request->execution_count++;
	if (!operation->is_repeatable && operation->execution_count > 1)
		fleet->stats.repeated_executions++;
	if (job->request->is_reported_not_run)
		fleet->stats.false_not_run++;
}

/*
 * Handles the end of an attempt at its node. The complete response of a live
 * attempt goes to the caller; the response of a cancelled one is discarded.
 */
void flood_frontend_handle_attempt_end(struct flood_node *node,
				       uint64_t attempt_id,
				       enum attempt_outcome outcome)
{
	struct flood_job *job =
		g_hash_table_lookup(node->live_attempts, &attempt_id);

	if (!job)
		return;
	g_hash_table_remove(node->live_attempts, &attempt_id);
	if (outcome == ATTEMPT_COMPLETE && job->request->is_open) {
		job->request->is_open = false;
		flood_callers_handle_response(node->fleet, job->request);
	}
	unref_job(node->fleet, job);
}

/* Drops the live attempts of a node that dies; the targets still run them. */
void flood_frontend_drop_attempts(struct flood_node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->live_attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_hash_table_iter_remove(&iter);
		unref_job(node->fleet, value);
	}
}

static void on_job_ended(void *context, struct flood_job *job,
			 enum attempt_outcome outcome)
{
	struct flood_fleet *fleet = context;
	struct flood_event *event;

	if (outcome == ATTEMPT_SHED)
		fleet->stats.shed_attempts++;
	if (outcome == ATTEMPT_TRUNCATED) {
		event = flood_event_new(FLOOD_EVENT_RESPONSE_HEADERS,
					job->node_id);
		event->id = job->attempt_id;
		flood_fleet_send_event(fleet, event);
	}
	event = flood_event_new(FLOOD_EVENT_ATTEMPT_ENDED, job->node_id);
	event->id = job->attempt_id;
	event->outcome = outcome;
	flood_fleet_send_event(fleet, event);
	unref_job(fleet, job);
}

static void on_job_lost(void *context, struct flood_job *job)
{
	unref_job(context, job);
}

/* Connects a target's callbacks to this frontend. */
void flood_frontend_connect_target(struct flood_fleet *fleet, uint32_t index)
{
	struct flood_target *target = &fleet->targets[index];

	target->driver = fleet->driver;
	target->index = index;
	target->context = fleet;
	target->job_started = on_job_started;
	target->job_ended = on_job_ended;
	target->job_lost = on_job_lost;
	g_queue_init(&target->backlog);
}
