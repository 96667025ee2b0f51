#include <core/relay_admission.h>

#include "relay_caller_share.h"
#include "relay_class_demand.h"

#include <glib.h>

/* Classes of a service that are told apart; further ones share the last. */
#define CLASS_COUNT_MAX 8

/* What each class keeps of a service's room, so that none starves. */
#define CLASS_FLOOR_PERCENT 10

/*
 * Room is short from the time when all slots are in use until fewer than this
 * part of them is: while flows are refused, the use varies around the limit.
 */
#define RELIEF_PERCENT 75

/* Interval at which the room is divided anew. */
#define DIVIDE_INTERVAL_MS 100

#define MILLI_PER_UNIT 1000
#define PERCENT 100

/* The flows of a class by caller. */
enum class_part {
	/* Callers within their share. */
	PART_FAIR,
	/* Callers beyond it, who get what the others leave. */
	PART_EXCESS,
	PART_COUNT,
};

/* admitted_milli is the part of the new flows that is admitted. */
struct admission_part {
	struct relay_class_demand demand;
	uint64_t wanted_milli;
	uint64_t granted_milli;
	uint32_t admitted_milli;
	uint32_t credit_milli;
};

/* priority 0 is the highest. */
struct admission_class {
	uint32_t priority;
	struct admission_part parts[PART_COUNT];
};

/* classes are ordered by priority. */
struct admission_service {
	struct relay_room room;
	struct admission_class classes[CLASS_COUNT_MAX];
	uint32_t class_count;
	struct relay_caller_share *callers;
	int64_t divided_ms;
	bool is_short;
};

struct relay_admission {
	/* Maps service ids to struct admission_service. */
	GHashTable *services;
};

static void free_service(gpointer data)
{
	struct admission_service *service = data;

	relay_caller_share_free(service->callers);
	g_free(service);
}

/* Creates an admission without services. Free it with relay_admission_free. */
struct relay_admission *relay_admission_new(void)
{
	struct relay_admission *admission = g_new0(struct relay_admission, 1);

	admission->services = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, free_service);
	return admission;
}

/* Frees the admission; NULL is allowed. */
void relay_admission_free(struct relay_admission *admission)
{
	if (!admission)
		return;
	g_hash_table_destroy(admission->services);
	g_free(admission);
}

static struct admission_service *find(const struct relay_admission *admission,
				      uint32_t service_id)
{
	return g_hash_table_lookup(admission->services,
				   GUINT_TO_POINTER(service_id));
}

static struct admission_class *insert_class(struct admission_service *service,
					    uint32_t position,
					    uint32_t priority)
{
	struct admission_class *classes = service->classes;

	for (uint32_t i = service->class_count; i > position; i--)
		classes[i] = classes[i - 1];
	service->class_count++;
	classes[position] = (struct admission_class){.priority = priority};
	for (uint32_t i = 0; i < PART_COUNT; i++)
		classes[position].parts[i].admitted_milli = MILLI_PER_UNIT;
	return &classes[position];
}

static struct admission_class *
find_or_add_class(struct admission_service *service, uint32_t priority)
{
	uint32_t position = 0;

	while (position < service->class_count &&
	       service->classes[position].priority < priority)
		position++;
	if (position < service->class_count &&
	    service->classes[position].priority == priority)
		return &service->classes[position];
	if (service->class_count == CLASS_COUNT_MAX)
		return &service->classes[MIN(position, CLASS_COUNT_MAX - 1)];
	return insert_class(service, position, priority);
}

/*
 * Returns this node's part of the service's slots, in thousandths: as many as
 * it has of the open flows.
 */
static uint64_t own_slots_milli(const struct relay_room *room)
{
	if (room->open_count == 0)
		return room->slot_count * MILLI_PER_UNIT;
	return room->slot_count * MILLI_PER_UNIT * room->own_open_count /
	       room->open_count;
}

static bool is_short(const struct admission_service *service,
		     uint64_t wanted_milli, uint64_t room_milli)
{
	uint64_t percent = service->is_short ? RELIEF_PERCENT : PERCENT;

	return wanted_milli > room_milli &&
	       service->room.open_count * PERCENT >=
		       service->room.slot_count * percent;
}

/* Grants a part up to limit_milli more of what it wants. Returns the rest. */
static uint64_t grant(struct admission_part *part, uint64_t limit_milli,
		      uint64_t left_milli)
{
	uint64_t added_milli = MIN(part->wanted_milli - part->granted_milli,
				   MIN(limit_milli, left_milli));

	part->granted_milli += added_milli;
	return left_milli - added_milli;
}

static void set_admitted(const struct admission_service *service,
			 struct admission_part *part)
{
	part->admitted_milli = MILLI_PER_UNIT;
	if (service->is_short && part->wanted_milli > 0)
		part->admitted_milli =
			(uint32_t)(part->granted_milli * MILLI_PER_UNIT /
				   part->wanted_milli);
}

/* Updates what each part wants and returns the sum, in thousandths of a slot.
 */
static uint64_t update_wanted(struct admission_service *service, int64_t now_ms)
{
	uint64_t sum_milli = 0;

	for (uint32_t i = 0; i < service->class_count; i++) {
		for (uint32_t k = 0; k < PART_COUNT; k++) {
			struct admission_part *part =
				&service->classes[i].parts[k];

			part->wanted_milli = relay_class_demand_slots_milli(
				&part->demand, now_ms);
			part->granted_milli = 0;
			sum_milli += part->wanted_milli;
		}
	}
	return sum_milli;
}

/*
 * Gives each class its floor, then what is left in order of priority, within a
 * class first to callers within their share.
 */
static void divide(struct admission_service *service, int64_t now_ms)
{
	uint64_t room_milli = own_slots_milli(&service->room);
	uint64_t floor_milli = room_milli * CLASS_FLOOR_PERCENT / PERCENT;
	uint64_t left_milli = room_milli;

	service->is_short =
		is_short(service, update_wanted(service, now_ms), room_milli);
	for (uint32_t i = 0; i < service->class_count; i++)
		left_milli = grant(&service->classes[i].parts[PART_FAIR],
				   floor_milli, left_milli);
	for (uint32_t i = 0; i < service->class_count; i++) {
		for (uint32_t k = 0; k < PART_COUNT; k++) {
			struct admission_part *part =
				&service->classes[i].parts[k];

			left_milli = grant(part, UINT64_MAX, left_milli);
			set_admitted(service, part);
		}
	}
}

/* Sets the room of a service. */
void relay_admission_set_room(struct relay_admission *admission,
			      const struct relay_room *room, int64_t now_ms)
{
	struct admission_service *service = find(admission, room->service_id);

	if (!service) {
		service = g_new0(struct admission_service, 1);
		service->callers = relay_caller_share_new();
		g_hash_table_insert(admission->services,
				    GUINT_TO_POINTER(room->service_id),
				    service);
	}
	service->room = *room;
	if (now_ms - service->divided_ms < DIVIDE_INTERVAL_MS)
		return;
	service->divided_ms = now_ms;
	divide(service, now_ms);
}

static enum class_part part_of(struct admission_service *service,
			       const struct ip_addr *caller, int64_t now_ms)
{
	if (service->is_short &&
	    relay_caller_share_is_exceeded(service->callers, caller, now_ms))
		return PART_EXCESS;
	return PART_FAIR;
}

/* Records a request of a class on a caller's flow to the service. */
void relay_admission_add_request(struct relay_admission *admission,
				 uint32_t service_id, uint32_t priority,
				 const struct ip_addr *caller, int64_t now_ms)
{
	struct admission_service *service = find(admission, service_id);
	struct admission_class *admission_class;
	enum class_part kind;

	if (!service)
		return;
	admission_class = find_or_add_class(service, priority);
	kind = part_of(service, caller, now_ms);
	relay_class_demand_add_request(&admission_class->parts[kind].demand,
				       now_ms);
}

/* Records how long a target of the service took for a request of a class. */
void relay_admission_add_duration(struct relay_admission *admission,
				  uint32_t service_id, uint32_t priority,
				  uint32_t duration_ms, int64_t now_ms)
{
	struct admission_service *service = find(admission, service_id);
	struct admission_class *admission_class;

	if (!service)
		return;
	admission_class = find_or_add_class(service, priority);
	for (uint32_t i = 0; i < PART_COUNT; i++)
		relay_class_demand_add_duration(
			&admission_class->parts[i].demand, duration_ms, now_ms);
}

/*
 * Decides on a new flow. Returns REASON_ADMITTED, or why it is refused. A
 * refused flow counts as demand of its class, an admitted one by the requests
 * that it carries.
 */
enum reason relay_admission_check(struct relay_admission *admission,
				  uint32_t service_id, uint32_t priority,
				  const struct ip_addr *caller, int64_t now_ms)
{
	struct admission_service *service = find(admission, service_id);
	struct admission_part *part;
	enum class_part kind;

	if (!service)
		return REASON_ADMITTED;
	relay_caller_share_add(service->callers, caller, now_ms);
	if (!service->is_short)
		return REASON_ADMITTED;
	kind = part_of(service, caller, now_ms);
	part = &find_or_add_class(service, priority)->parts[kind];
	part->credit_milli += part->admitted_milli;
	if (part->credit_milli >= MILLI_PER_UNIT) {
		part->credit_milli -= MILLI_PER_UNIT;
		return REASON_ADMITTED;
	}
	relay_class_demand_add_request(&part->demand, now_ms);
	return kind == PART_EXCESS ? REASON_CALLER_SHARE : REASON_CLASS_LIMIT;
}

/* Returns whether the requests offered need more room than the service has. */
bool relay_admission_is_short(const struct relay_admission *admission,
			      uint32_t service_id)
{
	const struct admission_service *service = find(admission, service_id);

	return service && service->is_short;
}
