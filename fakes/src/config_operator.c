#include "config_fleet_state.h"

#define RESPONSE_TIMEOUT_MS 500
#define LATE_WRITE_MAX_MS 3000
#define RETRY_MS 700
#define WALL_CLOCK_START_MS 1700000000000ULL

static void on_document_read(void *context)
{
	struct store_call *call = context;
	struct config_fleet *fleet = call->fleet;
	struct rules_sync *sync = fleet->operators[call->index].sync;

	if (call->document)
		rules_sync_handle_document(
			sync, call->document, call->mod_revision,
			WALL_CLOCK_START_MS +
				(uint64_t)config_fleet_now_ms(fleet));
	else
		rules_sync_handle_read_failure(sync);
	store_call_free(call);
}

static void operator_read(void *context)
{
	struct config_operator *op = context;
	struct config_fleet *fleet = op->fleet;
	struct store_call *call = store_call_new(fleet, op->index);

	fleet->results.store_read_count++;
	if (fleet->is_store_up) {
		call->document = rules_document_copy(fleet->store);
		call->mod_revision = fleet->mod_revision;
	}
	driver_schedule(fleet->driver, CONFIG_FLEET_STORE_DELAY_MS, call,
			on_document_read);
}

static void on_write_arrived(void *context)
{
	struct store_call *call = context;
	struct config_fleet *fleet = call->fleet;
	struct rules_sync *sync = fleet->operators[call->index].sync;
	bool is_written = false;

	if (fleet->is_store_up)
		is_written = config_fleet_write_store(fleet, call->document,
						      call->mod_revision, true);
	if (!call->is_response_lost && fleet->is_store_up)
		rules_sync_handle_write_result(sync, is_written);
	else if (!call->is_response_lost)
		rules_sync_handle_unconfirmed_write(sync);
	store_call_free(call);
}

static void on_response_timeout(void *context)
{
	struct config_operator *op = context;

	rules_sync_handle_unconfirmed_write(op->sync);
}

/*
 * A write whose response is lost may reach the store up to LATE_WRITE_MAX_MS
 * later, after the operator has timed out.
 */
static void operator_write(void *context, const struct rules_document *document,
			   int64_t expected_mod_revision)
{
	struct config_operator *op = context;
	struct config_fleet *fleet = op->fleet;
	struct store_call *call = store_call_new(fleet, op->index);
	uint32_t delay_ms = CONFIG_FLEET_STORE_DELAY_MS;

	call->document = rules_document_copy(document);
	call->mod_revision = expected_mod_revision;
	call->is_response_lost =
		config_fleet_draw_ppm(fleet, fleet->options.lost_response_ppm);
	if (call->is_response_lost &&
	    config_fleet_draw_ppm(fleet, CONFIG_FLEET_PPM_MAX / 2))
		delay_ms = (uint32_t)g_rand_int_range(
			driver_rand(fleet->driver), 0, LATE_WRITE_MAX_MS);
	if (call->is_response_lost)
		driver_schedule(fleet->driver, RESPONSE_TIMEOUT_MS, op,
				on_response_timeout);
	driver_schedule(fleet->driver, delay_ms, call, on_write_arrived);
}

static void on_retry(void *context)
{
	struct config_operator *op = context;

	rules_sync_retry(op->sync);
}

static void operator_schedule_retry(void *context)
{
	struct config_operator *op = context;

	driver_schedule(op->fleet->driver, RETRY_MS, op, on_retry);
}

static void record_accepted(struct config_fleet *fleet,
			    const struct rules_outcome *outcome)
{
	uint64_t *generation =
		g_hash_table_lookup(fleet->accepted_generations, outcome->name);

	fleet->results.accepted_count++;
	if (generation && *generation >= outcome->generation)
		return;
	g_hash_table_insert(
		fleet->accepted_generations, g_strdup(outcome->name),
		g_memdup2(&outcome->generation, sizeof(outcome->generation)));
}

static void operator_record_merge(void *context,
				  const struct rules_merge *merge,
				  const struct rules_base *base)
{
	struct config_operator *op = context;
	struct config_fleet *fleet = op->fleet;

	g_hash_table_remove_all(op->verdicts);
	for (uint32_t i = 0; i < rules_merge_count(merge); i++) {
		const struct rules_outcome *outcome = rules_merge_at(merge, i);

		g_hash_table_insert(op->verdicts, g_strdup(outcome->name),
				    GINT_TO_POINTER(outcome->verdict));
		if (outcome->verdict == RULES_ACCEPTED ||
		    outcome->verdict == RULES_ALREADY_STORED ||
		    outcome->verdict == RULES_DELETED)
			record_accepted(fleet, outcome);
		else if (rules_verdict_is_rejection(outcome->verdict))
			fleet->results.rejected_count++;
	}
}

/* Starts an operator whose merge base is empty. */
void config_operator_start(struct config_fleet *fleet, uint32_t index)
{
	struct config_operator *op = &fleet->operators[index];
	struct rules_sync_options options = {
		.seed = fleet->options.seed * 16 + index,
		.context = op,
		.read = operator_read,
		.write = operator_write,
		.schedule_retry = operator_schedule_retry,
		.report_outcomes = operator_record_merge,
	};

	op->fleet = fleet;
	op->index = index;
	op->verdicts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	op->sync = rules_sync_new(&options, rules_base_new());
}
