#include "relay_room_keeper.h"

#include <math.h>

/*
 * With fewer open flows of this node its part of a service's room is not known
 * well enough, and it goes by the whole room.
 */
#define OWN_OPEN_COUNT_MIN 8

/*
 * The part of the room is taken this many standard deviations above the
 * node's part of the open flows: which flows come to a node is chance.
 */
#define OWN_OPEN_DEVIATION_COUNT 2

/* A service has room again when it was not short for this long. */
#define RELIEF_MS 2000

/* short_ms is when the service was last short. */
struct room_entry {
	struct relay_room room;
	int64_t short_ms;
	bool is_reported;
};

struct relay_room_keeper {
	struct relay_admission *admission;
	/* Maps service ids to struct room_entry. */
	GHashTable *rooms;
	uint32_t short_count;
};

struct room_sweep {
	struct relay_director *director;
	int64_t now_ms;
};

/* Frees the keeper; NULL is allowed. */
void relay_room_keeper_free(struct relay_room_keeper *keeper)
{
	if (!keeper)
		return;
	g_hash_table_destroy(keeper->rooms);
	relay_admission_free(keeper->admission);
	g_free(keeper);
}

/* Reports that a service that was short is not divided any more. */
static void report_end(gpointer key, gpointer data, gpointer context)
{
	const struct relay_director *director = context;
	const struct relay_callbacks *callbacks = &director->options.callbacks;
	const struct room_entry *entry = data;
	struct relay_room_change change = {.room = entry->room};

	(void)key;
	if (entry->is_reported && callbacks->room_changed)
		callbacks->room_changed(callbacks->context, &change);
}

/* Gives the director a keeper if its routes call for one, or takes it away. */
void relay_room_keeper_switch(struct relay_director *director)
{
	bool is_on = relay_route_table_has_classes(director->routes);
	struct relay_room_keeper *keeper = director->room_keeper;

	if (is_on == (keeper != NULL))
		return;
	if (keeper) {
		g_hash_table_foreach(keeper->rooms, report_end, director);
		relay_room_keeper_free(keeper);
		director->room_keeper = NULL;
		return;
	}
	keeper = g_new0(struct relay_room_keeper, 1);
	keeper->admission = relay_admission_new();
	keeper->rooms = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, g_free);
	director->room_keeper = keeper;
}

/* Returns whether a target's slots are room for new flows. */
static bool is_room(const struct relay_target *target, int64_t now_ms)
{
	return relay_target_accepts_new_flows(target, now_ms) &&
	       !relay_health_is_avoided(&target->health, now_ms);
}

/* Returns whether a zone's targets can be room for new flows. */
static bool has_room(const struct relay_director *director, uint32_t zone_id,
		     int64_t now_ms)
{
	return !relay_evacuations_contains(director->evacuations, zone_id) &&
	       !relay_zone_health_is_avoided(director->zone_health, zone_id,
					     now_ms);
}

static struct room_entry *find_or_add(struct relay_room_keeper *keeper,
				      uint32_t service_id)
{
	gpointer key = GUINT_TO_POINTER(service_id);
	struct room_entry *entry = g_hash_table_lookup(keeper->rooms, key);

	if (!entry) {
		entry = g_new0(struct room_entry, 1);
		g_hash_table_insert(keeper->rooms, key, entry);
	}
	return entry;
}

static void add_target(struct relay_room *room,
		       const struct relay_target *target)
{
	room->slot_count += MAX(target->target.slot_count, 1);
	room->open_count +=
		(uint64_t)target->own_open_count + target->peer_open_count;
	room->own_open_count += target->own_open_count;
}

/* A service whose targets are no room anywhere gets no entry. */
static void add_pool(void *context, uint32_t service_id,
		     const struct relay_pool *pool)
{
	const struct room_sweep *sweep = context;
	struct room_entry *entry = NULL;

	if (!has_room(sweep->director, pool->zone_id, sweep->now_ms))
		return;
	for (guint i = 0; i < pool->targets->len; i++) {
		const struct relay_target *target =
			g_ptr_array_index(pool->targets, i);

		if (!is_room(target, sweep->now_ms))
			continue;
		if (!entry)
			entry = find_or_add(sweep->director->room_keeper,
					    service_id);
		add_target(&entry->room, target);
	}
}

static void report(const struct relay_director *director,
		   struct room_entry *entry, bool is_short, int64_t now_ms)
{
	const struct relay_callbacks *callbacks = &director->options.callbacks;
	struct relay_room_change change = {.room = entry->room,
					   .is_short = is_short};

	if (is_short)
		entry->short_ms = now_ms;
	if (is_short == entry->is_reported ||
	    (!is_short && now_ms - entry->short_ms < RELIEF_MS))
		return;
	entry->is_reported = is_short;
	if (callbacks->room_changed)
		callbacks->room_changed(callbacks->context, &change);
}

/* The room that the admission goes by: none is divided if there is no slot. */
static struct relay_room divided_room(const struct relay_room *room)
{
	struct relay_room divided = *room;

	if (room->slot_count == 0)
		divided.slot_count = UINT32_MAX;
	if (room->own_open_count < OWN_OPEN_COUNT_MIN)
		divided.own_open_count = room->open_count;
	else
		divided.own_open_count +=
			(uint64_t)(OWN_OPEN_DEVIATION_COUNT *
				   sqrt((double)room->own_open_count));
	divided.own_open_count =
		MIN(divided.own_open_count, divided.open_count);
	return divided;
}

/* Tells the admission the room of all services, and reports changes. */
void relay_room_keeper_sweep(struct relay_director *director, int64_t now_ms)
{
	struct relay_room_keeper *keeper = director->room_keeper;
	struct room_sweep sweep = {.director = director, .now_ms = now_ms};
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, keeper->rooms);
	while (g_hash_table_iter_next(&iter, &key, &value))
		((struct room_entry *)value)->room = (struct relay_room){
			.service_id = GPOINTER_TO_UINT(key)};
	relay_directory_for_each_pool(director->directory, &sweep, add_pool);
	keeper->short_count = 0;
	g_hash_table_iter_init(&iter, keeper->rooms);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct room_entry *entry = value;
		struct relay_room room;

		entry->room.service_id = GPOINTER_TO_UINT(key);
		room = divided_room(&entry->room);
		relay_admission_set_room(keeper->admission, &room, now_ms);
		report(director, entry,
		       relay_admission_is_short(keeper->admission,
						room.service_id),
		       now_ms);
		keeper->short_count += entry->is_reported;
	}
}

/* Returns whether a part of the new flows to a service is refused by class. */
bool relay_room_keeper_is_short(const struct relay_room_keeper *keeper,
				uint32_t service_id)
{
	return relay_admission_is_short(keeper->admission, service_id);
}

/* Decides on a new flow; see relay_admission_check. */
enum reason relay_room_keeper_check(struct relay_room_keeper *keeper,
				    uint32_t service_id, uint32_t priority,
				    const struct ip_addr *caller,
				    int64_t now_ms)
{
	return relay_admission_check(keeper->admission, service_id, priority,
				     caller, now_ms);
}

/*
 * Records what an open flow showed of the caller's requests. Requests at
 * targets whose slots are no room do not count. If an answer was not seen, the
 * time of its request may be the caller's pause, and counts as none.
 */
void relay_room_keeper_note_request(struct relay_director *director,
				    const struct relay_target *target,
				    uint32_t priority,
				    const struct relay_request_event *event,
				    const struct ip_addr *caller,
				    int64_t now_ms)
{
	struct relay_admission *admission = director->room_keeper->admission;
	uint32_t service_id = target->target.service_id;

	if (!has_room(director, target->target.zone_id, now_ms) ||
	    !is_room(target, now_ms))
		return;
	if (event->is_ended)
		relay_admission_add_duration(admission, service_id, priority,
					     event->duration_ms, now_ms);
	if (event->is_begun)
		relay_admission_add_request(admission, service_id, priority,
					    caller, now_ms);
}

/* Returns how many services are short, as was reported; NULL is allowed. */
uint32_t relay_room_keeper_short_count(const struct relay_room_keeper *keeper)
{
	return keeper ? keeper->short_count : 0;
}
