/* Handles new requests and the events of exchanges with callers. */
#include "outcome_response.h"
#include "request_frontend_state.h"
#include "request_reader.h"

#include <inttypes.h>

static void on_drained(void *context, uint64_t request_id)
{
	struct request_entry *entry =
		request_frontend_entry(context, request_id);

	if (entry && entry->responding_attempt)
		target_attempt_pause(entry->responding_attempt, false);
}

static void on_exchange_ended(void *context, uint64_t request_id,
			      bool is_written)
{
	struct request_frontend *frontend = context;
	struct request_entry *entry =
		request_frontend_entry(frontend, request_id);
	bool has_outcome = entry->has_outcome;

	g_hash_table_remove(frontend->entries, &request_id);
	if (has_outcome || frontend->is_stopping)
		return;
	counter_set_add(frontend->counters, REQUESTS_CALLER_GONE, 1);
	request_director_handle_disconnect(frontend->director, request_id,
					   task_now_ms());
	request_frontend_schedule_tick(frontend);
}

static struct request_entry *add_entry(struct request_frontend *frontend,
				       struct caller_connection *connection,
				       struct evhttp_request *request)
{
	struct request_entry *entry = g_new0(struct request_entry, 1);
	struct caller_exchange_options options = {
		.task = frontend->options.task,
		.settings = &frontend->options.settings->requests,
		.budget = &frontend->budget,
		.connection = connection,
		.request = request,
		.request_id = ++frontend->next_request_id,
		.context = frontend,
		.on_drained = on_drained,
		.on_ended = on_exchange_ended,
	};

	entry->request_id = options.request_id;
	entry->exchange = caller_exchange_new(&options);
	g_hash_table_insert(frontend->entries, &entry->request_id, entry);
	return entry;
}

static void reject(struct request_frontend *frontend,
		   struct request_entry *entry, int status)
{
	counter_set_add(frontend->counters, REQUESTS_REJECTED, 1);
	entry->has_outcome = true;
	log_write(frontend->log, LOG_LEVEL_INFO, "rejected",
		  "request=%" PRIu64 " status=%d", entry->request_id, status);
	caller_exchange_disable_keep_alive(entry->exchange);
	outcome_response_send_rejection(entry->exchange, status);
}

/* Handles a request that has arrived completely. */
void request_frontend_handle_request(void *context, uint32_t service_id,
				     struct caller_connection *connection,
				     struct evhttp_request *request)
{
	struct request_frontend *frontend = context;
	struct request_entry *entry = add_entry(frontend, connection, request);
	struct request_info info = {
		.request_id = entry->request_id,
		.service_id = service_id,
	};
	int64_t now_ms = task_now_ms();
	int status =
		request_reader_read(&info, request, frontend->rules, now_ms);

	counter_set_add(frontend->counters, REQUESTS_RECEIVED, 1);
	/* The caller has closed its side, so the request need not run. */
	if (caller_connection_is_closed(connection)) {
		entry->has_outcome = true;
		counter_set_add(frontend->counters, REQUESTS_CALLER_GONE, 1);
		return;
	}
	if (status != 0) {
		reject(frontend, entry, status);
		return;
	}
	entry->is_repeatable = info.is_repeatable;
	request_director_submit(frontend->director, &info, now_ms);
	request_frontend_schedule_tick(frontend);
}
