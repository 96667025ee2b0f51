#include "request_catalog.h"

#include "targets/target_states.h"

#define POOL_NONE UINT32_MAX

struct request_catalog {
	struct request_catalog_options options;
	struct rule_set *rules;
	GHashTable *services;
	GHashTable *stats_by_endpoint;
	struct target_states *states;
	GPtrArray *pools;
};

static guint endpoint_key_hash(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean endpoint_key_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

static void free_service(gpointer service)
{
	request_service_free(service);
}

static void free_pool(gpointer pool)
{
	request_pool_free(pool);
}

static GHashTable *new_services(void)
{
	return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				     free_service);
}

/* Creates an empty catalog. Free it with request_catalog_free. */
struct request_catalog *
request_catalog_new(const struct request_catalog_options *options)
{
	struct request_catalog *catalog = g_new0(struct request_catalog, 1);

	catalog->options = *options;
	catalog->rules = rule_set_new(0);
	catalog->services = new_services();
	catalog->stats_by_endpoint = g_hash_table_new_full(
		endpoint_key_hash, endpoint_key_equal, NULL, g_free);
	catalog->states = target_states_new();
	catalog->pools = g_ptr_array_new_with_free_func(free_pool);
	return catalog;
}

/* Frees the catalog; NULL is allowed. */
void request_catalog_free(struct request_catalog *catalog)
{
	if (!catalog)
		return;
	g_hash_table_destroy(catalog->services);
	g_hash_table_destroy(catalog->stats_by_endpoint);
	target_states_free(catalog->states);
	g_ptr_array_free(catalog->pools, TRUE);
	rule_set_free(catalog->rules);
	g_free(catalog);
}

static bool is_empty(const struct request_catalog *catalog)
{
	return rule_set_count(catalog->rules) == 0;
}

static struct target_stats *find_or_add_stats(struct request_catalog *catalog,
					      const struct target *target,
					      bool starts_slowly,
					      int64_t now_ms)
{
	struct target_stats *stats = g_hash_table_lookup(
		catalog->stats_by_endpoint, &target->endpoint);

	if (stats) {
		if (!stats->is_listed && starts_slowly)
			slow_start_begin(&stats->slow_start, now_ms);
		stats->limit.slot_count = target->slot_count;
		return stats;
	}
	stats = g_new0(struct target_stats, 1);
	stats->endpoint = target->endpoint;
	target_limit_init(&stats->limit, target->slot_count,
			  catalog->options.node_count);
	if (starts_slowly)
		slow_start_begin(&stats->slow_start, now_ms);
	g_hash_table_insert(catalog->stats_by_endpoint, &stats->endpoint,
			    stats);
	return stats;
}

static void merge_pools(GPtrArray *services, uint32_t from, uint32_t into)
{
	for (guint i = 0; i < services->len; i++) {
		struct request_service *service =
			g_ptr_array_index(services, i);

		if (service->pool_index != from)
			continue;
		service->pool_index = into;
		for (guint j = 0; j < service->stats_by_target->len; j++) {
			struct target_stats *stats =
				g_ptr_array_index(service->stats_by_target, j);

			stats->pool_index = into;
		}
	}
}

static void add_targets(struct request_catalog *catalog, GPtrArray *services,
			struct request_service *service, bool starts_slowly,
			int64_t now_ms)
{
	const struct rule *rule = service->rule;

	for (uint32_t i = 0; i < rule->target_count; i++) {
		const struct target *target = &rule->targets[i];
		struct target_stats *stats = find_or_add_stats(
			catalog, target, starts_slowly, now_ms);

		g_ptr_array_add(service->stats_by_target, stats);
		service->states[i] = target_states_get(catalog->states, target);
		if (stats->pool_index != POOL_NONE &&
		    stats->pool_index != service->pool_index)
			merge_pools(services, stats->pool_index,
				    service->pool_index);
		stats->pool_index = service->pool_index;
	}
}

static void add_pool_members(struct request_service *service, GHashTable *seen)
{
	for (uint32_t i = 0; i < service->stats_by_target->len; i++) {
		struct request_pool_member member = {
			.service = service,
			.stats = g_ptr_array_index(service->stats_by_target, i),
			.index = i,
		};

		if (g_hash_table_add(seen, member.stats))
			g_array_append_val(service->pool->members, member);
	}
}

static void make_pools(struct request_catalog *catalog, GPtrArray *services)
{
	GHashTable *pools = g_hash_table_new(g_direct_hash, g_direct_equal);
	GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);

	for (guint i = 0; i < services->len; i++) {
		struct request_service *service =
			g_ptr_array_index(services, i);
		gpointer key = GUINT_TO_POINTER(service->pool_index);

		service->pool = g_hash_table_lookup(pools, key);
		if (!service->pool) {
			service->pool =
				request_pool_new(catalog->options.queue_limit);
			g_hash_table_insert(pools, key, service->pool);
			g_ptr_array_add(catalog->pools, service->pool);
		}
		add_pool_members(service, seen);
	}
	g_hash_table_destroy(seen);
	g_hash_table_destroy(pools);
}

static void reset_pool_indexes(struct request_catalog *catalog)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, catalog->stats_by_endpoint);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct target_stats *stats = value;

		stats->pool_index = POOL_NONE;
	}
}

static void remove_unlisted_stats(struct request_catalog *catalog)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, catalog->stats_by_endpoint);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct target_stats *stats = value;

		stats->is_listed = stats->pool_index != POOL_NONE;
		if (!stats->is_listed && stats->limit.in_flight == 0)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns whether a rule needs a pool: its service uses HTTP, and it is the
 * last of the service's rules, which is the one that applies.
 */
static bool needs_pool(const struct rule_set *rules, const struct rule *rule)
{
	return rule->service.protocol == SERVICE_HTTP &&
	       rule_set_by_id(rules, rule->service.service_id) == rule;
}

static struct request_service *create_service(GHashTable *previous,
					      const struct rule *rule)
{
	struct request_service *service = request_service_new(rule);
	const struct request_service *existing = g_hash_table_lookup(
		previous, GUINT_TO_POINTER(rule->service.service_id));

	if (existing)
		request_service_inherit(service, existing);
	return service;
}

/*
 * Replaces the rules by a copy of new ones. Pointers to previous pools and
 * services become invalid. The statistics of endpoints that the rules list, or
 * that have requests in flight, are kept. Targets that were not listed before
 * begin with a slow start, except under the first rules, where all targets are
 * equally new to this node.
 */
void request_catalog_set_rules(struct request_catalog *catalog,
			       const struct rule_set *rules, int64_t now_ms)
{
	bool starts_slowly = !is_empty(catalog);
	GHashTable *previous = catalog->services;
	GPtrArray *services = g_ptr_array_new();
	struct rule_set *copy = rule_set_copy(rules);

	catalog->services = new_services();
	g_ptr_array_set_size(catalog->pools, 0);
	reset_pool_indexes(catalog);
	for (uint32_t i = 0; i < rule_set_count(copy); i++) {
		const struct rule *rule = rule_set_at(copy, i);
		struct request_service *service;

		if (!needs_pool(copy, rule))
			continue;
		service = create_service(previous, rule);
		service->pool_index = i;
		add_targets(catalog, services, service, starts_slowly, now_ms);
		g_ptr_array_add(services, service);
		g_hash_table_insert(catalog->services,
				    GUINT_TO_POINTER(rule->service.service_id),
				    service);
	}
	make_pools(catalog, services);
	remove_unlisted_stats(catalog);
	g_ptr_array_free(services, TRUE);
	g_hash_table_destroy(previous);
	rule_set_free(catalog->rules);
	catalog->rules = copy;
	target_states_remove_unlisted(catalog->states, catalog->rules, now_ms);
}

/* Sets how many live nodes share the targets. */
void request_catalog_set_node_count(struct request_catalog *catalog,
				    uint32_t node_count)
{
	GHashTableIter iter;
	gpointer value;

	catalog->options.node_count = node_count;
	g_hash_table_iter_init(&iter, catalog->stats_by_endpoint);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct target_stats *stats = value;

		stats->limit.node_count = node_count;
	}
}

static void set_target_state_in(struct request_service *service,
				uint64_t target_id, enum target_state state,
				int64_t now_ms)
{
	for (uint32_t i = 0; i < service->rule->target_count; i++) {
		struct target_stats *stats;

		if (service->rule->targets[i].target_id != target_id)
			continue;
		stats = g_ptr_array_index(service->stats_by_target, i);
		if (state == TARGET_COLD && service->states[i] != TARGET_COLD)
			slow_start_begin(&stats->slow_start, now_ms);
		service->states[i] = state;
	}
}

/* Records a target's reported state, even if the rules do not list it yet. */
void request_catalog_set_state(struct request_catalog *catalog,
			       uint64_t target_id, enum target_state state,
			       int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	target_states_set(catalog->states, target_id, state, now_ms);
	g_hash_table_iter_init(&iter, catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_target_state_in(value, target_id, state, now_ms);
}

/* Returns the service of the current rules with an id, or NULL. */
struct request_service *
request_catalog_service(const struct request_catalog *catalog,
			uint32_t service_id)
{
	return g_hash_table_lookup(catalog->services,
				   GUINT_TO_POINTER(service_id));
}

/* Returns the number of pools. */
uint32_t request_catalog_pool_count(const struct request_catalog *catalog)
{
	return catalog->pools->len;
}

/* Returns a pool by its index, which is below request_catalog_pool_count. */
struct request_pool *
request_catalog_pool_at(const struct request_catalog *catalog, uint32_t index)
{
	return g_ptr_array_index(catalog->pools, index);
}
