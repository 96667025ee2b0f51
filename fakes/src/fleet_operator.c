#include "fleet.h"

#define ANSWER_TIMEOUT_MS 500
#define LATE_WRITE_MAX_MS 3000
#define RETRY_MS 700
#define WALL_CLOCK_START_MS 1700000000000ULL

static void on_operator_document(void *context)
{
	struct store_call *call = context;
	struct config_fleet *fleet = call->fleet;
	struct rules_sync *sync = fleet->operators[call->index].sync;

	if (call->document)
		rules_sync_handle_document(
			sync, call->document, call->mod_revision,
			WALL_CLOCK_START_MS + (uint64_t)fleet_now_ms(fleet));
	else
		rules_sync_handle_read_failure(sync);
	store_call_free(call);
}

static void operator_read(void *context)
{
	struct fleet_operator *person = context;
	struct config_fleet *fleet = person->fleet;
	struct store_call *call = store_call_new(fleet, person->index);

	fleet->counts.store_read_count++;
	if (fleet->is_store_up) {
		call->document = rules_document_copy(fleet->store);
		call->mod_revision = fleet->mod_revision;
	}
	driver_schedule(fleet->driver, FLEET_STORE_DELAY_MS, call,
			on_operator_document);
}

static void on_write_arrived(void *context)
{
	struct store_call *call = context;
	struct config_fleet *fleet = call->fleet;
	struct rules_sync *sync = fleet->operators[call->index].sync;
	bool is_written = false;

	if (fleet->is_store_up)
		is_written = fleet_write_store(fleet, call->document,
					       call->mod_revision, true);
	if (!call->is_lost && fleet->is_store_up)
		rules_sync_handle_written(sync, is_written);
	else if (!call->is_lost)
		rules_sync_handle_unknown_write(sync);
	store_call_free(call);
}

static void on_answer_timeout(void *context)
{
	struct fleet_operator *person = context;

	rules_sync_handle_unknown_write(person->sync);
}

/* A lost answer's write may arrive long after its sender has given up. */
static void operator_write(void *context, const struct rules_document *document,
			   int64_t expected_mod_revision)
{
	struct fleet_operator *person = context;
	struct config_fleet *fleet = person->fleet;
	struct store_call *call = store_call_new(fleet, person->index);
	uint32_t delay_ms = FLEET_STORE_DELAY_MS;

	call->document = rules_document_copy(document);
	call->mod_revision = expected_mod_revision;
	call->is_lost = fleet_draw_ppm(fleet, fleet->options.lost_answer_ppm);
	if (call->is_lost && fleet_draw_ppm(fleet, FLEET_PPM_MAX / 2))
		delay_ms = (uint32_t)g_rand_int_range(
			driver_rand(fleet->driver), 0, LATE_WRITE_MAX_MS);
	if (call->is_lost)
		driver_schedule(fleet->driver, ANSWER_TIMEOUT_MS, person,
				on_answer_timeout);
	driver_schedule(fleet->driver, delay_ms, call, on_write_arrived);
}

static void on_retry(void *context)
{
	struct fleet_operator *person = context;

	rules_sync_retry(person->sync);
}

static void operator_wait(void *context)
{
	struct fleet_operator *person = context;

	driver_schedule(person->fleet->driver, RETRY_MS, person, on_retry);
}

static void note_accepted(struct config_fleet *fleet,
			  const struct rules_outcome *outcome)
{
	uint64_t *generation =
		g_hash_table_lookup(fleet->accepted, outcome->name);

	fleet->counts.accepted_count++;
	if (generation && *generation >= outcome->generation)
		return;
	g_hash_table_insert(
		fleet->accepted, g_strdup(outcome->name),
		g_memdup2(&outcome->generation, sizeof(outcome->generation)));
}

static void operator_outcome(void *context, const struct rules_merge *merge,
			     const struct rules_base *base)
{
	struct fleet_operator *person = context;
	struct config_fleet *fleet = person->fleet;

	g_hash_table_remove_all(person->verdicts);
	for (uint32_t i = 0; i < rules_merge_count(merge); i++) {
		const struct rules_outcome *outcome = rules_merge_at(merge, i);

		g_hash_table_insert(person->verdicts, g_strdup(outcome->name),
				    GINT_TO_POINTER(outcome->verdict));
		if (outcome->verdict == RULES_ACCEPTED ||
		    outcome->verdict == RULES_ALREADY_STORED ||
		    outcome->verdict == RULES_DELETED)
			note_accepted(fleet, outcome);
		else if (rules_verdict_is_rejection(outcome->verdict))
			fleet->counts.rejected_count++;
	}
}

/* Makes an operator with an empty base. */
void fleet_operator_start(struct config_fleet *fleet, uint32_t index)
{
	struct fleet_operator *person = &fleet->operators[index];
	struct rules_sync_options options = {
		.seed = fleet->options.seed * 16 + index,
		.context = person,
		.read = operator_read,
		.write = operator_write,
		.schedule_retry = operator_wait,
		.outcome = operator_outcome,
	};

	person->fleet = fleet;
	person->index = index;
	person->verdicts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	person->sync = rules_sync_new(&options, rules_base_new());
}
