#include "flood_proxy.h"

#define ATTEMPTS_MAX 5
#define TARGETS_MAX 16

struct proxy_request {
	struct request_info info;
	uint64_t attempt_id;
	uint32_t target;
	uint32_t attempt_count;
};

struct flood_proxy {
	struct flood_proxy_options options;
	GQueue queue;
	GHashTable *running_requests;
	uint64_t next_attempt_id;
	uint32_t next_target;
	uint32_t in_flight_counts[TARGETS_MAX];
};

/* Creates a proxy; free it with flood_proxy_free. */
struct flood_proxy *flood_proxy_new(const struct flood_proxy_options *options)
{
	struct flood_proxy *proxy = g_new0(struct flood_proxy, 1);

	proxy->options = *options;
	g_queue_init(&proxy->queue);
	proxy->running_requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	return proxy;
}

/* Frees a proxy; NULL is allowed. */
void flood_proxy_free(struct flood_proxy *proxy)
{
	if (!proxy)
		return;
	g_queue_clear_full(&proxy->queue, g_free);
	g_hash_table_destroy(proxy->running_requests);
	g_free(proxy);
}

static void refuse_request(struct flood_proxy *proxy,
			   struct proxy_request *request,
			   enum refusal_kind kind)
{
	struct refusal refusal = {.kind = kind, .reason = REASON_QUEUE_FULL};

	proxy->options.callbacks.refuse(proxy->options.callbacks.context,
					request->info.request_id, &refusal);
	g_free(request);
}

static void start_attempt(struct flood_proxy *proxy,
			  struct proxy_request *request,
			  const struct rule *rule, uint32_t target)
{
	struct placement placement = {
		.kind = PLACE_TO_TARGET,
		.target_id = rule->targets[target].target_id,
		.endpoint = rule->targets[target].endpoint,
	};

	request->attempt_id = ++proxy->next_attempt_id;
	request->target = target;
	request->attempt_count++;
	proxy->in_flight_counts[target]++;
	g_hash_table_insert(proxy->running_requests, &request->attempt_id,
			    request);
	proxy->options.callbacks.start(
		proxy->options.callbacks.context, request->info.request_id,
		request->attempt_id, &placement, request->info.deadline_ms);
}

static bool start_next(struct flood_proxy *proxy, int64_t now_ms)
{
	struct proxy_request *request = g_queue_peek_head(&proxy->queue);
	const struct rule *rule =
		rule_set_by_id(proxy->options.rules, request->info.service_id);

	if (now_ms >= request->info.deadline_ms) {
		g_queue_pop_head(&proxy->queue);
		refuse_request(proxy, request, REFUSAL_NOT_RUN);
		return true;
	}
	for (uint32_t i = 0; i < rule->target_count; i++) {
		uint32_t target = proxy->next_target++ % rule->target_count;

		if (proxy->in_flight_counts[target] >=
		    proxy->options.target_limit)
			continue;
		g_queue_pop_head(&proxy->queue);
		start_attempt(proxy, request, rule, target);
		return true;
	}
	return false;
}

/* Starts queued requests while targets are below their limits. */
void flood_proxy_tick(struct flood_proxy *proxy, int64_t now_ms)
{
	while (proxy->queue.length > 0 && start_next(proxy, now_ms))
		;
}

/* Queues a request, or refuses it if the queue is full. */
void flood_proxy_handle_request(struct flood_proxy *proxy,
				const struct request_info *info, int64_t now_ms)
{
	struct proxy_request *request = g_new0(struct proxy_request, 1);

	request->info = *info;
	if (proxy->queue.length >= proxy->options.queue_limit) {
		refuse_request(proxy, request, REFUSAL_NOT_RUN);
		return;
	}
	g_queue_push_tail(&proxy->queue, request);
	flood_proxy_tick(proxy, now_ms);
}

static void handle_failed_attempt(struct flood_proxy *proxy,
				  struct proxy_request *request,
				  enum attempt_outcome outcome, int64_t now_ms)
{
	if (proxy->options.is_retrying &&
	    request->attempt_count < ATTEMPTS_MAX &&
	    now_ms < request->info.deadline_ms)
		g_queue_push_tail(&proxy->queue, request);
	else
		refuse_request(proxy, request,
			       outcome == ATTEMPT_SHED ? REFUSAL_NOT_RUN
						       : REFUSAL_UNKNOWN);
}

/* Handles the end of an attempt. */
void flood_proxy_handle_attempt_end(struct flood_proxy *proxy,
				    uint64_t attempt_id,
				    enum attempt_outcome outcome,
				    int64_t now_ms)
{
	struct proxy_request *request =
		g_hash_table_lookup(proxy->running_requests, &attempt_id);

	if (!request)
		return;
	g_hash_table_steal(proxy->running_requests, &attempt_id);
	proxy->in_flight_counts[request->target]--;
	if (outcome == ATTEMPT_COMPLETE)
		g_free(request);
	else
		handle_failed_attempt(proxy, request, outcome, now_ms);
	flood_proxy_tick(proxy, now_ms);
}
