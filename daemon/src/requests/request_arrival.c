/* What callers do: requests that arrive, answers taken, callers that leave. */
#include "outcome_reply.h"
#include "request_front_state.h"
#include "request_reader.h"

#include <inttypes.h>

static void on_drained(void *context, uint64_t request_id)
{
	struct request_entry *entry = request_front_entry(context, request_id);

	if (entry && entry->answering)
		target_attempt_pause(entry->answering, false);
}

static void on_exchange_ended(void *context, uint64_t request_id,
			      bool is_written)
{
	struct request_front *front = context;
	struct request_entry *entry = request_front_entry(front, request_id);
	bool is_decided = entry->is_decided;

	g_hash_table_remove(front->entries, &request_id);
	if (is_decided || front->is_stopping)
		return;
	counter_set_add(front->counters, REQUESTS_CALLER_GONE, 1);
	request_director_caller_gone(front->director, request_id,
				     task_now_ms());
	request_front_turn_soon(front);
}

static struct request_entry *open_entry(struct request_front *front,
					struct caller_connection *connection,
					struct evhttp_request *request)
{
	struct request_entry *entry = g_new0(struct request_entry, 1);
	struct caller_exchange_options options = {
		.task = front->options.task,
		.settings = &front->options.settings->requests,
		.budget = &front->budget,
		.connection = connection,
		.request = request,
		.request_id = ++front->next_request_id,
		.context = front,
		.drained = on_drained,
		.ended = on_exchange_ended,
	};

	entry->request_id = options.request_id;
	entry->exchange = caller_exchange_new(&options);
	g_hash_table_insert(front->entries, &entry->request_id, entry);
	return entry;
}

static void reject(struct request_front *front, struct request_entry *entry,
		   int status)
{
	counter_set_add(front->counters, REQUESTS_REJECTED, 1);
	entry->is_decided = true;
	log_write(front->log, LOG_LEVEL_INFO, "rejected",
		  "request=%" PRIu64 " status=%d", entry->request_id, status);
	caller_exchange_close_after(entry->exchange);
	outcome_reply_status(entry->exchange, status);
}

/* A caller's request is whole. */
void request_front_arrived(void *context, uint32_t service_id,
			   struct caller_connection *connection,
			   struct evhttp_request *request)
{
	struct request_front *front = context;
	struct request_entry *entry = open_entry(front, connection, request);
	struct request_info info = {
		.request_id = entry->request_id,
		.service_id = service_id,
	};
	int64_t now_ms = task_now_ms();
	int status = request_reader_read(&info, request, front->rules, now_ms);

	counter_set_add(front->counters, REQUESTS_RECEIVED, 1);
	/* Nobody waits for the answer, so the request need not run. */
	if (caller_connection_is_closed(connection)) {
		entry->is_decided = true;
		counter_set_add(front->counters, REQUESTS_CALLER_GONE, 1);
		return;
	}
	if (status != 0) {
		reject(front, entry, status);
		return;
	}
	entry->is_repeatable = info.is_repeatable;
	request_director_arrive(front->director, &info, now_ms);
	request_front_turn_soon(front);
}
