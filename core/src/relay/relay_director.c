#include "relay_cold_targets.h"
#include "relay_director_state.h"
#include "relay_opening_life.h"
#include "relay_room_keeper.h"

#include <core/relay_tag.h>

/* Interval between removals of expired flows, load reports and targets. */
#define SWEEP_INTERVAL_MS 100

/*
 * A flow without a packet for this long is no longer counted as load of its
 * target: its closing packet took another path, or its caller is idle.
 */
#define COUNTED_IDLE_MS 2000

/*
 * How long the record of a closed flow is kept without a packet, unless
 * addresses are used again sooner. An end repeats its closing packet after at
 * most 1.6 s.
 */
#define CLOSED_KEPT_MS 2000

/*
 * How long a starting node holds opening packets. Reading the store takes 20
 * to 130 ms, but up to a second if all nodes of a large fleet read it or the
 * link is slow. A caller waits for 1.4 s; a reset instead would use up one of
 * its few attempts while no other node is ready either.
 */
#define START_HOLD_MS 1400

/*
 * New flows avoid a silent target for avoid_ms, and again for longer each time
 * that an opening packet is left unanswered after that.
 */
static const struct relay_health_limits silent_target_limits = {
	.unanswered_threshold = 1,
	.avoid_ms = 500,
	.avoid_max_ms = 4000,
};

/* Idle timeout of flows until the configuration has been read. */
#define IDLE_TIMEOUT_DEFAULT_MS 60000

static struct relay_silence *
make_silence(const struct relay_director_options *director_options)
{
	const struct relay_callbacks *callbacks = &director_options->callbacks;
	const struct relay_silence_options options = {
		.own_zone_id = director_options->zone_id,
		.context = callbacks->context,
		.zone_changed = callbacks->zone_changed,
		.report_due = callbacks->zone_report_due,
	};

	return relay_silence_new(&options);
}

static struct relay_isolation *
make_isolation(const struct relay_director_options *director_options)
{
	const struct relay_callbacks *callbacks = &director_options->callbacks;
	const struct relay_isolation_options options = {
		.start_ms = director_options->start_ms,
		.context = callbacks->context,
		.changed = callbacks->isolation_changed,
	};

	return relay_isolation_new(&options);
}

/* Lets new flows avoid a target that has become silent, and passes it on. */
static void handle_target_change(void *context,
				 const struct relay_target_change *change)
{
	struct relay_director *director = context;
	const struct relay_callbacks *callbacks = &director->options.callbacks;

	struct relay_target *entry = relay_directory_find(
		director->directory, relay_tag_of(change->target_id));

	if (change->is_silent && entry)
		relay_health_avoid(&entry->health, &silent_target_limits,
				   change->changed_ms);
	if (callbacks->target_changed)
		callbacks->target_changed(callbacks->context, change);
}

static void pass_on_target_report(void *context,
				  const struct relay_target_report *report)
{
	const struct relay_director *director = context;
	const struct relay_callbacks *callbacks = &director->options.callbacks;

	if (callbacks->target_report_due)
		callbacks->target_report_due(callbacks->context, report);
}

static struct relay_target_silence *
make_target_silence(struct relay_director *director)
{
	const struct relay_target_silence_options options = {
		.context = director,
		.target_changed = handle_target_change,
		.report_due = pass_on_target_report,
	};

	return relay_target_silence_new(&options);
}

/* Creates a director without routes. Free it with relay_director_free. */
struct relay_director *
relay_director_new(const struct relay_director_options *options)
{
	struct relay_director *director = g_new0(struct relay_director, 1);

	director->options = *options;
	director->directory = relay_directory_new();
	relay_directory_set_seed(director->directory, options->random_seed);
	director->loads = relay_loads_new(director->directory);
	director->evacuations = relay_evacuations_new();
	director->flows = relay_flow_table_new(options->flow_capacity);
	director->sought = relay_sought_new();
	director->zone_health = relay_zone_health_new();
	director->warmup = relay_warmup_new(&options->warmup);
	director->silence = make_silence(options);
	director->isolation = make_isolation(options);
	director->target_silence = make_target_silence(director);
	director->random = g_rand_new_with_seed(options->random_seed);
	return director;
}

/* Frees the director; NULL is allowed. */
void relay_director_free(struct relay_director *director)
{
	if (!director)
		return;
	g_rand_free(director->random);
	relay_room_keeper_free(director->room_keeper);
	relay_warmup_free(director->warmup);
	relay_isolation_free(director->isolation);
	relay_target_silence_free(director->target_silence);
	relay_silence_free(director->silence);
	relay_zone_health_free(director->zone_health);
	relay_sought_free(director->sought);
	relay_flow_table_free(director->flows);
	relay_evacuations_free(director->evacuations);
	relay_loads_free(director->loads);
	relay_directory_free(director->directory);
	relay_route_table_free(director->routes);
	g_free(director);
}

/* Returns the hash of a packet's flow, which is the same on all nodes. */
struct hash128 relay_packet_flow_hash(const struct relay_director *director,
				      const struct relay_packet *packet)
{
	const struct flow_key key = {
		.caller = packet->caller,
		.service = packet->service,
		.protocol = FLOW_PROTOCOL_UDP,
	};

	return flow_key_hash(&key, director->options.flow_seed);
}

/* Decides what to do with a packet; bytes is the whole packet as received. */
struct relay_verdict relay_director_handle_packet(
	struct relay_director *director, const struct relay_packet *packet,
	const uint8_t *bytes, uint32_t length_bytes, int64_t now_ms)
{
	if (packet->is_opening && relay_opening_is_stale(packet))
		return relay_verdict_reject(RELAY_DROP, REASON_STALE_PACKET);
	if (packet->is_opening && relay_director_is_starting(director, now_ms))
		return (struct relay_verdict){.action = RELAY_HOLD,
					      .reason = REASON_NOT_READY};
	if (!director->routes)
		return relay_verdict_reject(packet->is_opening ? RELAY_RESET
							       : RELAY_DROP,
					    REASON_NOT_READY);
	if (packet->is_opening)
		return relay_opening_handle_packet(director, packet, bytes,
						   length_bytes, now_ms);
	return relay_established_handle_packet(director, packet, now_ms);
}

static uint32_t idle_timeout_ms(const struct relay_director *director)
{
	return director->routes
		       ? relay_route_table_idle_timeout_ms(director->routes)
		       : IDLE_TIMEOUT_DEFAULT_MS;
}

static uint32_t closed_kept_ms(const struct relay_director *director)
{
	uint32_t reuse_after_ms = director->options.reuse_after_ms;

	return reuse_after_ms ? MIN(reuse_after_ms, CLOSED_KEPT_MS)
			      : CLOSED_KEPT_MS;
}

static void sweep_flows(struct relay_director *director, int64_t now_ms)
{
	uint32_t timeout_ms = idle_timeout_ms(director);
	uint32_t kept_ms = closed_kept_ms(director);
	struct relay_flow *flow;

	while ((flow = relay_flow_table_lru_counted(director->flows)) &&
	       now_ms - flow->used_ms >= COUNTED_IDLE_MS)
		relay_flow_load_remove(director, flow);
	while ((flow = relay_flow_table_lru_closed(director->flows)) &&
	       now_ms - flow->used_ms >= kept_ms)
		relay_flow_table_remove(director->flows, flow);
	while ((flow = relay_flow_table_lru_uncounted(director->flows)) &&
	       now_ms - flow->used_ms >= timeout_ms)
		relay_flow_table_remove(director->flows, flow);
}

static void sweep(struct relay_director *director, int64_t now_ms)
{
	if (now_ms - director->swept_ms < SWEEP_INTERVAL_MS)
		return;
	director->swept_ms = now_ms;
	sweep_flows(director, now_ms);
	relay_loads_sweep(director->loads, now_ms);
	relay_directory_sweep(director->directory, now_ms);
	relay_cold_targets_sweep(director, now_ms);
	if (director->room_keeper)
		relay_room_keeper_sweep(director, now_ms);
}

/*
 * Resends unanswered opening packets that are due, and removes expired flows,
 * load reports and targets. Returns when the next opening packet is due,
 * INT64_MAX if there is none.
 */
int64_t relay_director_tick(struct relay_director *director, int64_t now_ms)
{
	relay_silence_tick(director->silence, now_ms);
	relay_isolation_evidence_update(director, now_ms);
	relay_target_silence_tick(director->target_silence, now_ms);
	sweep(director, now_ms);
	return relay_opening_resend_due(director, now_ms);
}

/*
 * Replaces the routes and takes ownership of them. Returns false and frees them
 * if the current version is the same or later.
 */
bool relay_director_set_routes(struct relay_director *director,
			       struct relay_route_table *routes)
{
	if (relay_route_table_version(routes) <=
	    relay_director_config_version(director)) {
		relay_route_table_free(routes);
		return false;
	}
	relay_route_table_inherit_removed(routes, director->routes);
	relay_route_table_free(director->routes);
	director->routes = routes;
	relay_room_keeper_switch(director);
	return true;
}

/* Sets the nodes that the store lists, an array of struct relay_peer. */
void relay_director_set_nodes(struct relay_director *director,
			      const GArray *peers, int64_t now_ms)
{
	relay_warmup_set_nodes(director->warmup, peers, now_ms);
	relay_silence_set_nodes(director->silence, peers, now_ms);
}

/* Returns the version of the current configuration, 0 for none. */
uint64_t relay_director_config_version(const struct relay_director *director)
{
	return director->routes ? relay_route_table_version(director->routes)
				: 0;
}

/*
 * Handles what another node of this zone sees of a target; ignores one that
 * this node doesn't know.
 */
void relay_director_handle_target_report(
	struct relay_director *director,
	const struct relay_target_report *report, int64_t now_ms)
{
	const struct relay_target *entry =
		relay_directory_find(director->directory, report->tag);

	if (entry)
		relay_target_silence_handle_report(director->target_silence,
						   entry, report, now_ms);
}

/* Returns how many targets are taken for silent. */
uint32_t relay_director_silent_count(const struct relay_director *director)
{
	return relay_target_silence_count(director->target_silence);
}

/*
 * Records that the node leaves: routers move its flows to other nodes, so that
 * it no longer resends opening packets.
 */
void relay_director_set_leaving(struct relay_director *director)
{
	director->rotation.is_leaving = true;
}

/* Records that a router asked whether the node is ready and was told so. */
void relay_director_note_asked(struct relay_director *director, int64_t now_ms)
{
	director->rotation.asked_ms = now_ms;
}

/* Returns the directory, which the director owns. */
struct relay_directory *
relay_director_directory(struct relay_director *director)
{
	return director->directory;
}

/* Sets the number of nodes in this node's zone, this one included. */
void relay_director_set_node_count(struct relay_director *director,
				   uint32_t node_count)
{
	director->node_count = node_count;
}

/* Returns the load reports of other nodes, which the director owns. */
struct relay_loads *relay_director_loads(struct relay_director *director)
{
	return director->loads;
}

/* Returns the evacuated zones, which the director owns. */
struct relay_evacuations *
relay_director_evacuations(struct relay_director *director)
{
	return director->evacuations;
}

/* Returns the evidence of lost zones, which the director owns. */
struct relay_silence *relay_director_silence(struct relay_director *director)
{
	return director->silence;
}

/* Returns whether the node is not ready and started within START_HOLD_MS. */
bool relay_director_is_starting(const struct relay_director *director,
				int64_t now_ms)
{
	return !relay_director_is_ready(director) &&
	       now_ms - director->options.start_ms < START_HOLD_MS;
}

/* Returns whether the node has read its routes and at least one target. */
bool relay_director_is_ready(const struct relay_director *director)
{
	return director->routes &&
	       relay_directory_count(director->directory) > 0;
}

/* Returns whether the node can serve no new flow while others could. */
bool relay_director_is_isolated(const struct relay_director *director)
{
	return relay_isolation_is_isolated(director->isolation);
}

/* Returns how evenly the targets of this node's zone are loaded. */
struct relay_spread relay_director_spread(struct relay_director *director,
					  int64_t now_ms)
{
	return relay_spread_measure(director->directory,
				    director->options.zone_id, now_ms);
}

/* Returns the number of flow records. */
uint32_t relay_director_flow_count(const struct relay_director *director)
{
	return relay_flow_table_count(director->flows);
}

/* Returns how many targets had their rate limited at the last sweep. */
uint32_t relay_director_cold_count(const struct relay_director *director)
{
	return director->cold_count;
}

/* Returns how many services are short of room, as was reported. */
uint32_t relay_director_short_count(const struct relay_director *director)
{
	return relay_room_keeper_short_count(director->room_keeper);
}
