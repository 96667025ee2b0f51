#include "relay_director_state.h"

#include <core/relay_tag.h>

/* How often old flows, reports and targets are looked for. */
#define SWEEP_INTERVAL_MS 100

/*
 * A flow without a packet for so long no longer counts as work of its target:
 * its end went another way, or its caller thinks.
 */
#define COUNTED_IDLE_MS 2000

/*
 * How long a node that starts holds opening packets. It reads the store in 20
 * to 130 ms, and in some 400 ms where the configuration is large and the link
 * slow. A reset costs the caller one of few tries.
 */
#define START_HOLD_MS 600

/* Used until the configuration says after how long flows may be forgotten. */
#define IDLE_TIMEOUT_PRESET_MS 60000

/* Makes a director that knows nothing yet; free it with relay_director_free. */
struct relay_director *
relay_director_new(const struct relay_director_options *options)
{
	struct relay_director *director = g_new0(struct relay_director, 1);

	director->options = *options;
	director->directory = relay_directory_new();
	director->loads = relay_loads_new(director->directory);
	director->flows = relay_flow_table_new(options->flow_capacity);
	director->zones = relay_zone_health_new();
	director->random = g_rand_new_with_seed(options->random_seed);
	return director;
}

/* Frees the director; NULL is allowed. */
void relay_director_free(struct relay_director *director)
{
	if (!director)
		return;
	g_rand_free(director->random);
	relay_zone_health_free(director->zones);
	relay_flow_table_free(director->flows);
	relay_loads_free(director->loads);
	relay_directory_free(director->directory);
	relay_route_table_free(director->routes);
	g_free(director);
}

static struct relay_verdict refuse(enum relay_action action, enum reason reason)
{
	return (struct relay_verdict){
		.action = action, .reason = reason, .is_new_decision = true};
}

/* Remembers a flow that another node opened, and tells that it is here now. */
static struct relay_flow *adopt(struct relay_director *director,
				const struct relay_packet *packet,
				struct flow_print print, int64_t now_ms)
{
	const struct relay_effects *effects = &director->options.effects;
	struct relay_flow *flow;

	if (relay_flow_table_is_full(director->flows))
		return NULL;
	flow = relay_flow_table_add(director->flows, print, now_ms);
	flow->tag = packet->tag;
	relay_flow_table_settle(director->flows, flow, RELAY_FLOW_OPEN);
	relay_opening_count(director, flow);
	effects->flow_moved(effects->context, print);
	return flow;
}

/* The first packet of an open flow settles which of its targets it has. */
static void settle(struct relay_director *director, struct relay_flow *flow,
		   uint32_t tag, int64_t now_ms)
{
	if (tag != flow->tag) {
		relay_opening_uncount(director, flow);
		flow->tag = tag;
		flow->try_count = RELAY_TRY_COUNT_MAX;
		relay_opening_count(director, flow);
	}
	relay_opening_answered(director, flow, now_ms);
}

/* A flow ends once: later packets of its end change nothing. */
static bool end_if_closing(struct relay_director *director,
			   struct relay_flow *flow,
			   const struct relay_packet *packet)
{
	bool is_first = flow->is_counted;

	if (!packet->is_closing && !packet->is_reset)
		return false;
	relay_opening_uncount(director, flow);
	if (flow->state == RELAY_FLOW_OPENING)
		relay_flow_table_settle(director->flows, flow,
					RELAY_FLOW_ENDED);
	return is_first;
}

static struct relay_flow *find_or_adopt(struct relay_director *director,
					const struct relay_packet *packet,
					int64_t now_ms)
{
	struct flow_print print = relay_packet_print(director, packet);
	struct relay_flow *flow = relay_flow_table_find(director->flows, print);

	if (!flow && packet->tag != RELAY_TAG_NONE && !packet->is_reset)
		flow = adopt(director, packet, print, now_ms);
	return flow;
}

/*
 * Notes a packet of a flow. Once settled, a flow keeps its target: a second
 * target's answer, come late, may change what the caller brings back.
 */
static void follow(struct relay_director *director, struct relay_flow *flow,
		   const struct relay_packet *packet,
		   struct relay_verdict *verdict, int64_t now_ms)
{
	relay_flow_table_use(director->flows, flow, now_ms);
	if (flow->state != RELAY_FLOW_OPEN && packet->tag != RELAY_TAG_NONE) {
		verdict->is_answered = flow->state == RELAY_FLOW_OPENING;
		verdict->answer_ms = (uint32_t)(now_ms - flow->sent_ms);
		settle(director, flow, packet->tag, now_ms);
	}
	verdict->is_closed = end_if_closing(director, flow, packet);
	verdict->flow_age_ms = (uint32_t)(now_ms - flow->began_ms);
	verdict->try_count = flow->try_count;
}

static struct relay_verdict open_packet(struct relay_director *director,
					const struct relay_packet *packet,
					int64_t now_ms)
{
	struct relay_verdict verdict = {.is_new_decision = false};
	const struct relay_target *known;
	struct relay_flow *flow;

	/* Without a route it may be in a version that others have already. */
	if (relay_route_table_is_dropped(director->routes, &packet->service))
		return refuse(RELAY_RESET, REASON_NO_SERVICE);
	flow = find_or_adopt(director, packet, now_ms);
	if (flow)
		follow(director, flow, packet, &verdict, now_ms);
	known = relay_directory_find(director->directory,
				     flow ? flow->tag : packet->tag);
	if (!known)
		return refuse(RELAY_DROP, REASON_TAG_UNKNOWN);
	relay_verdict_aim(&verdict, known, REASON_TAG);
	return verdict;
}

/* Decides what becomes of a packet; the bytes are those of the packet. */
struct relay_verdict relay_director_packet(struct relay_director *director,
					   const struct relay_packet *packet,
					   const uint8_t *bytes,
					   uint32_t length_bytes,
					   int64_t now_ms)
{
	if (packet->is_opening && relay_director_is_starting(director, now_ms))
		return (struct relay_verdict){.action = RELAY_HOLD,
					      .reason = REASON_NOT_READY};
	if (!director->routes)
		return refuse(packet->is_opening ? RELAY_RESET : RELAY_DROP,
			      REASON_NOT_READY);
	if (packet->is_opening)
		return relay_opening_packet(director, packet, bytes,
					    length_bytes, now_ms);
	return open_packet(director, packet, now_ms);
}

static uint32_t idle_timeout_ms(const struct relay_director *director)
{
	return director->routes
		       ? relay_route_table_idle_timeout_ms(director->routes)
		       : IDLE_TIMEOUT_PRESET_MS;
}

static void sweep_flows(struct relay_director *director, int64_t now_ms)
{
	uint32_t timeout_ms = idle_timeout_ms(director);
	struct relay_flow *flow;

	while ((flow = relay_flow_table_oldest_counted(director->flows)) &&
	       now_ms - flow->used_ms >= COUNTED_IDLE_MS)
		relay_opening_uncount(director, flow);
	while ((flow = relay_flow_table_oldest_idle(director->flows)) &&
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
}

/*
 * Does what is due: second tries of opening packets, and forgetting. Returns
 * when the next opening packet is due, INT64_MAX where none waits.
 */
int64_t relay_director_tick(struct relay_director *director, int64_t now_ms)
{
	sweep(director, now_ms);
	return relay_opening_retry(director, now_ms);
}

/*
 * Takes ownership of the routes of a configuration. Returns false and frees
 * them where a version as new is in force already.
 */
bool relay_director_set_routes(struct relay_director *director,
			       struct relay_route_table *routes)
{
	if (relay_route_table_version(routes) <=
	    relay_director_version(director)) {
		relay_route_table_free(routes);
		return false;
	}
	relay_route_table_follow(routes, director->routes);
	relay_route_table_free(director->routes);
	director->routes = routes;
	return true;
}

/* Returns the version of the configuration in force, 0 for none. */
uint64_t relay_director_version(const struct relay_director *director)
{
	return director->routes ? relay_route_table_version(director->routes)
				: 0;
}

/* Another node carries the flow now, so nothing is repeated from here. */
void relay_director_flow_moved(struct relay_director *director,
			       struct flow_print print)
{
	struct relay_flow *flow = relay_flow_table_find(director->flows, print);

	if (!flow)
		return;
	relay_opening_uncount(director, flow);
	relay_flow_table_settle(director->flows, flow, RELAY_FLOW_ENDED);
}

/* Returns the directory, which belongs to the director. */
struct relay_directory *
relay_director_directory(struct relay_director *director)
{
	return director->directory;
}

/* Returns the reports of other nodes, which belong to the director. */
struct relay_loads *relay_director_loads(struct relay_director *director)
{
	return director->loads;
}

/* Tells whether the node has just started and may soon know enough. */
bool relay_director_is_starting(const struct relay_director *director,
				int64_t now_ms)
{
	return !relay_director_is_ready(director) &&
	       now_ms - director->options.start_ms < START_HOLD_MS;
}

/* Tells whether the node knows enough to take new flows. */
bool relay_director_is_ready(const struct relay_director *director)
{
	return director->routes &&
	       relay_directory_count(director->directory) > 0;
}

/* Returns how many flows are remembered. */
uint32_t relay_director_flow_count(const struct relay_director *director)
{
	return relay_flow_table_count(director->flows);
}
