#include "relay_cold_targets.h"

/* Returns whether the configuration states a rate for cold targets. */
bool relay_cold_targets_has_rate(const struct relay_director *director,
				 uint32_t service_id)
{
	const struct relay_service *service =
		director->routes ? relay_route_table_find_service(
					   director->routes, service_id)
				 : NULL;

	return service && service->warmup_per_s_milli > 0;
}

static bool is_limited(const struct relay_director *director,
		       const struct relay_target *entry, int64_t now_ms)
{
	/* Most targets are warm, and need no look at their service. */
	return relay_warmup_tokens_is_cold(&entry->warmup, now_ms) &&
	       director->routes &&
	       relay_warmup_is_limited(
		       relay_route_table_find_service(director->routes,
						      entry->target.service_id),
		       entry, now_ms);
}

/* Returns whether a target may get an opening packet from this node now. */
bool relay_cold_targets_may_send(struct relay_director *director,
				 const struct relay_target *entry,
				 int64_t now_ms)
{
	uint32_t service_id = entry->target.service_id;

	if (!is_limited(director, entry, now_ms))
		return true;
	return relay_warmup_may_send(
		director->warmup,
		relay_route_table_find_service(director->routes, service_id),
		relay_directory_service_targets(director->directory,
						service_id),
		relay_directory_find(director->directory, entry->tag), now_ms);
}

/*
 * Records that an opening packet goes to a target. Returns whether the rate of
 * the target applies.
 */
bool relay_cold_targets_use(const struct relay_director *director,
			    struct relay_target *entry, int64_t now_ms)
{
	return is_limited(director, entry, now_ms) &&
	       relay_warmup_tokens_use(&entry->warmup);
}

struct sweep {
	struct relay_director *director;
	int64_t now_ms;
};

/* Returns whether the warm-up of the target still runs. */
static bool report_change(void *context, struct relay_target *entry)
{
	const struct sweep *sweep = context;
	struct relay_director *director = sweep->director;
	const struct relay_callbacks *callbacks = &director->options.callbacks;
	bool is_now = entry->removed_ms == 0 &&
		      is_limited(director, entry, sweep->now_ms);

	director->cold_count += is_now;
	if (is_now != entry->warmup.is_reported) {
		entry->warmup.is_reported = is_now;
		callbacks->warmup_changed(callbacks->context, entry, is_now);
	}
	return relay_warmup_tokens_is_cold(&entry->warmup, sweep->now_ms);
}

/* Forgets nodes that have gone, and reports where limits begin and end. */
void relay_cold_targets_sweep(struct relay_director *director, int64_t now_ms)
{
	struct sweep sweep = {.director = director, .now_ms = now_ms};

	relay_warmup_sweep(director->warmup, now_ms);
	director->cold_count = 0;
	relay_target_set_filter(
		relay_directory_warming_targets(director->directory), &sweep,
		report_change);
}
