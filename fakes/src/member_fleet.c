#include <fakes/member_fleet.h>

#include <wire/member_codec.h>
#include <wire/rpc_codec.h>

#define DATAGRAM_OVERHEAD_BYTES (RPC_HEADER_BYTES + 28)
#define CONTROL_PORT 7400
#define FIRST_ADDRESS 0x0a000001U
#define FIRST_NODE_ID 1000
#define SEED_COUNT 3

/* The node that runs at one place of the driver; a restart has a new id. */
struct seat {
	struct member_fleet *fleet;
	uint32_t instance;
	struct membership *membership;
	uint64_t node_id;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	bool is_paused;
};

struct member_fleet {
	struct member_fleet_options options;
	struct driver *driver;
	struct seat *seats;
	uint64_t next_node_id;
};

/* One encoded message on its way. */
struct parcel {
	uint64_t from_node_id;
	uint32_t procedure;
	GByteArray *bytes;
};

static void parcel_free(void *message)
{
	struct parcel *parcel = message;

	g_byte_array_unref(parcel->bytes);
	g_free(parcel);
}

static void *parcel_duplicate(const void *message)
{
	struct parcel *copy = g_memdup2(message, sizeof(*copy));

	g_byte_array_ref(copy->bytes);
	return copy;
}

static struct endpoint endpoint_of(uint32_t instance)
{
	return (struct endpoint){
		.addr = ip_addr_from_v4(FIRST_ADDRESS + instance),
		.port = CONTROL_PORT};
}

static uint32_t instance_of(const struct endpoint *endpoint)
{
	const uint8_t *bytes = endpoint->addr.bytes;
	uint32_t address = (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
			   (uint32_t)bytes[2] << 8 | bytes[3];

	return address - FIRST_ADDRESS;
}

static void deliver(void *context, uint32_t from, uint32_t to, void *message)
{
	struct member_fleet *fleet = context;
	struct seat *seat = &fleet->seats[to];
	struct parcel *parcel = message;
	struct endpoint endpoint = endpoint_of(from);
	struct member_message decoded;

	if (seat->membership &&
	    member_decode(&decoded, parcel->procedure, parcel->bytes->data,
			  parcel->bytes->len, NULL)) {
		seat->received_bytes +=
			parcel->bytes->len + DATAGRAM_OVERHEAD_BYTES;
		membership_receive(seat->membership, parcel->from_node_id,
				   &endpoint, &decoded,
				   driver_now_ms(fleet->driver));
	}
	parcel_free(parcel);
}

static void on_send(void *context, uint64_t to_node_id,
		    const struct endpoint *to,
		    const struct member_message *message)
{
	struct seat *seat = context;
	struct member_fleet *fleet = seat->fleet;
	struct parcel *parcel = g_new0(struct parcel, 1);
	uint32_t to_instance = instance_of(to);

	parcel->from_node_id = seat->node_id;
	parcel->procedure = member_codec_procedure(message->kind);
	parcel->bytes = member_encode(message, NULL);
	seat->sent_bytes += parcel->bytes->len + DATAGRAM_OVERHEAD_BYTES;
	if (to_instance < fleet->options.instance_count)
		driver_send(fleet->driver, seat->instance, to_instance, parcel);
	else
		parcel_free(parcel);
}

static void on_view(void *context, const struct node_view *view)
{
	struct seat *seat = context;
	const struct member_fleet_options *options = &seat->fleet->options;

	if (options->view_changed)
		options->view_changed(options->context, seat->instance, view);
}

static void on_event(void *context, const struct member_event *event)
{
	struct seat *seat = context;
	const struct member_fleet_options *options = &seat->fleet->options;

	if (options->event)
		options->event(options->context, seat->instance, event);
}

static void on_tick(void *context)
{
	struct seat *seat = context;
	struct member_fleet *fleet = seat->fleet;

	if (seat->membership && !seat->is_paused)
		membership_tick(seat->membership, driver_now_ms(fleet->driver));
	driver_schedule(fleet->driver, MEMBERSHIP_TICK_MS, seat, on_tick);
}

/*
 * Starts the first node_count nodes. The caller frees the fleet with
 * member_fleet_free.
 */
struct member_fleet *
member_fleet_new(const struct member_fleet_options *options)
{
	struct member_fleet *fleet = g_new0(struct member_fleet, 1);
	struct driver_options driver_options = {
		.instance_count = options->instance_count,
		.seed = options->seed,
		.link = options->link,
		.context = fleet,
		.deliver = deliver,
		.discard = parcel_free,
		.duplicate = parcel_duplicate,
	};

	fleet->options = *options;
	fleet->driver = driver_new(&driver_options);
	fleet->seats = g_new0(struct seat, options->instance_count);
	fleet->next_node_id = FIRST_NODE_ID;
	for (uint32_t i = 0; i < options->instance_count; i++) {
		struct seat *seat = &fleet->seats[i];

		seat->fleet = fleet;
		seat->instance = i;
		driver_schedule(
			fleet->driver,
			(uint32_t)g_rand_int_range(driver_rand(fleet->driver),
						   0, MEMBERSHIP_TICK_MS),
			seat, on_tick);
	}
	for (uint32_t i = 0; i < options->node_count; i++)
		member_fleet_start(fleet, i);
	return fleet;
}

/* Frees the fleet and its nodes; NULL is allowed. */
void member_fleet_free(struct member_fleet *fleet)
{
	if (!fleet)
		return;
	for (uint32_t i = 0; i < fleet->options.instance_count; i++)
		membership_free(fleet->seats[i].membership);
	driver_free(fleet->driver);
	g_free(fleet->seats);
	g_free(fleet);
}

/* Returns the driver, to run time and to change links. */
struct driver *member_fleet_driver(struct member_fleet *fleet)
{
	return fleet->driver;
}

/* Starts a node, or a new one in the place of one that was killed. */
void member_fleet_start(struct member_fleet *fleet, uint32_t instance)
{
	struct seat *seat = &fleet->seats[instance];
	struct membership_options options = fleet->options.membership;
	struct endpoint hints[SEED_COUNT];

	member_fleet_kill(fleet, instance);
	seat->node_id = fleet->next_node_id++;
	options.seed = fleet->options.seed;
	options.self.node_id = seat->node_id;
	options.self.zone_id = member_fleet_zone(fleet, instance) + 1;
	options.self.region_id = 1;
	options.self.control = endpoint_of(instance);
	options.self.packets = options.self.control;
	options.effects = (struct membership_effects){
		.context = seat,
		.send = on_send,
		.view_changed = on_view,
		.event = on_event,
	};
	seat->membership =
		membership_new(&options, driver_now_ms(fleet->driver));
	for (uint32_t i = 0; i < SEED_COUNT; i++)
		hints[i] = endpoint_of(i);
	membership_set_seeds(seat->membership, hints, SEED_COUNT);
}

/* Ends a node without a word. */
void member_fleet_kill(struct member_fleet *fleet, uint32_t instance)
{
	struct seat *seat = &fleet->seats[instance];

	membership_free(seat->membership);
	seat->membership = NULL;
}

/* Lets a node announce that it leaves. */
void member_fleet_leave(struct member_fleet *fleet, uint32_t instance)
{
	membership_leave(fleet->seats[instance].membership,
			 driver_now_ms(fleet->driver));
}

/* Lets a node say good-bye and ends it. */
void member_fleet_stop(struct member_fleet *fleet, uint32_t instance)
{
	membership_stop(fleet->seats[instance].membership,
			driver_now_ms(fleet->driver));
	member_fleet_kill(fleet, instance);
}

/* Pauses a node, whose messages wait, or wakes it. */
void member_fleet_pause(struct member_fleet *fleet, uint32_t instance,
			bool is_paused)
{
	fleet->seats[instance].is_paused = is_paused;
	driver_pause(fleet->driver, instance, is_paused);
}

/* Cuts a zone from all others, in both directions, or joins it again. */
void member_fleet_cut_zone(struct member_fleet *fleet, uint32_t zone,
			   bool is_cut)
{
	uint32_t count = fleet->options.instance_count;

	for (uint32_t from = 0; from < count; from++) {
		for (uint32_t to = 0; to < count; to++) {
			bool is_inside = member_fleet_zone(fleet, from) == zone;

			if (is_inside != (member_fleet_zone(fleet, to) == zone))
				driver_link(fleet->driver, from, to)->is_cut =
					is_cut;
		}
	}
}

/* Returns the zone of a place, from 0. */
uint32_t member_fleet_zone(const struct member_fleet *fleet, uint32_t instance)
{
	return instance % fleet->options.zone_count;
}

/* Returns the id of the node that runs, or ran, at a place. */
uint64_t member_fleet_node_id(const struct member_fleet *fleet,
			      uint32_t instance)
{
	return fleet->seats[instance].node_id;
}

/* Returns a node's view, or NULL when it does not run. */
const struct node_view *member_fleet_view(const struct member_fleet *fleet,
					  uint32_t instance)
{
	const struct seat *seat = &fleet->seats[instance];

	return seat->membership ? membership_view(seat->membership) : NULL;
}

/* Returns how one node sees another; one it does not know is dead to it. */
enum node_state member_fleet_state(const struct member_fleet *fleet,
				   uint32_t viewer, uint32_t instance)
{
	const struct node *node =
		node_view_find(member_fleet_view(fleet, viewer),
			       member_fleet_node_id(fleet, instance));

	return node ? node->state : NODE_DEAD;
}

/* Returns how many nodes one of them sees serving, itself included. */
uint32_t member_fleet_serving_count(const struct member_fleet *fleet,
				    uint32_t viewer)
{
	const struct node_view *view = member_fleet_view(fleet, viewer);
	uint32_t count = 0;

	for (uint32_t i = 0; i < node_view_count(view); i++)
		count += node_view_at(view, i)->state == NODE_SERVING;
	return count;
}

/* Tells whether a node runs, paused or not. */
bool member_fleet_is_running(const struct member_fleet *fleet,
			     uint32_t instance)
{
	return fleet->seats[instance].membership != NULL;
}

/* Tells whether every running node sees just the running nodes as serving. */
bool member_fleet_is_converged(const struct member_fleet *fleet)
{
	uint32_t count = fleet->options.instance_count;
	uint32_t running_count = 0;

	for (uint32_t i = 0; i < count; i++)
		running_count += member_fleet_is_running(fleet, i);
	for (uint32_t i = 0; i < count; i++) {
		if (!member_fleet_is_running(fleet, i))
			continue;
		if (member_fleet_serving_count(fleet, i) != running_count)
			return false;
		for (uint32_t j = 0; j < count; j++) {
			if (member_fleet_is_running(fleet, j) &&
			    member_fleet_state(fleet, i, j) != NODE_SERVING)
				return false;
		}
	}
	return true;
}

/* Returns the bytes a place has sent, IP and UDP headers included. */
uint64_t member_fleet_sent_bytes(const struct member_fleet *fleet,
				 uint32_t instance)
{
	return fleet->seats[instance].sent_bytes;
}

/* Returns the bytes a place has received, IP and UDP headers included. */
uint64_t member_fleet_received_bytes(const struct member_fleet *fleet,
				     uint32_t instance)
{
	return fleet->seats[instance].received_bytes;
}
