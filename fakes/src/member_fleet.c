#include <fakes/member_fleet.h>

#include <wire/member_codec.h>
#include <wire/rpc_codec.h>

#define IP_UDP_HEADER_BYTES 28
#define DATAGRAM_OVERHEAD_BYTES (RPC_HEADER_BYTES + IP_UDP_HEADER_BYTES)
#define CONTROL_PORT 7400
#define FIRST_ADDRESS 0x0a000001U
#define FIRST_NODE_ID 1000
#define SEED_NODE_COUNT 3

/*
 * One instance of the driver, on which one node at a time runs; membership is
 * NULL if none does. Each node started on it has a new id.
 */
struct member_slot {
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
	struct member_slot *slots;
	uint64_t next_node_id;
};

/* One encoded message in transit. */
struct datagram {
	uint64_t from_node_id;
	uint32_t procedure;
	GByteArray *bytes;
};

static void datagram_free(void *message)
{
	struct datagram *datagram = message;

	g_byte_array_unref(datagram->bytes);
	g_free(datagram);
}

static void *datagram_copy(const void *message)
{
	struct datagram *copy = g_memdup2(message, sizeof(*copy));

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
	struct member_slot *slot = &fleet->slots[to];
	struct datagram *datagram = message;
	struct endpoint endpoint = endpoint_of(from);
	struct member_message decoded;

	if (slot->membership &&
	    member_codec_decode(&decoded, datagram->procedure,
				datagram->bytes->data, datagram->bytes->len,
				NULL)) {
		slot->received_bytes +=
			datagram->bytes->len + DATAGRAM_OVERHEAD_BYTES;
		membership_receive(slot->membership, datagram->from_node_id,
				   &endpoint, &decoded,
				   driver_now_ms(fleet->driver));
	}
	datagram_free(datagram);
}

static void on_send(void *context, uint64_t to_node_id,
		    const struct endpoint *to,
		    const struct member_message *message)
{
	struct member_slot *slot = context;
	struct member_fleet *fleet = slot->fleet;
	struct datagram *datagram = g_new0(struct datagram, 1);
	uint32_t to_instance = instance_of(to);

	datagram->from_node_id = slot->node_id;
	datagram->procedure = member_codec_procedure(message->kind);
	datagram->bytes = member_codec_encode(message, NULL);
	slot->sent_bytes += datagram->bytes->len + DATAGRAM_OVERHEAD_BYTES;
	if (to_instance < fleet->options.instance_count)
		driver_send(fleet->driver, slot->instance, to_instance,
			    datagram);
	else
		datagram_free(datagram);
}

static void on_view(void *context, const struct node_view *view)
{
	struct member_slot *slot = context;
	const struct member_fleet_options *options = &slot->fleet->options;

	if (options->view_changed)
		options->view_changed(options->context, slot->instance, view);
}

static void on_event(void *context, const struct member_event *event)
{
	struct member_slot *slot = context;
	const struct member_fleet_options *options = &slot->fleet->options;

	if (options->event)
		options->event(options->context, slot->instance, event);
}

static void on_tick(void *context)
{
	struct member_slot *slot = context;
	struct member_fleet *fleet = slot->fleet;

	if (slot->membership && !slot->is_paused)
		membership_tick(slot->membership, driver_now_ms(fleet->driver));
	driver_schedule(fleet->driver, MEMBERSHIP_TICK_MS, slot, on_tick);
}

/* Starts the first node_count nodes. Free the fleet with member_fleet_free. */
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
		.discard = datagram_free,
		.duplicate = datagram_copy,
	};

	fleet->options = *options;
	fleet->driver = driver_new(&driver_options);
	fleet->slots = g_new0(struct member_slot, options->instance_count);
	fleet->next_node_id = FIRST_NODE_ID;
	for (uint32_t i = 0; i < options->instance_count; i++) {
		struct member_slot *slot = &fleet->slots[i];

		slot->fleet = fleet;
		slot->instance = i;
		driver_schedule(
			fleet->driver,
			(uint32_t)g_rand_int_range(driver_rand(fleet->driver),
						   0, MEMBERSHIP_TICK_MS),
			slot, on_tick);
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
		membership_free(fleet->slots[i].membership);
	driver_free(fleet->driver);
	g_free(fleet->slots);
	g_free(fleet);
}

/* Returns the driver, for running it and changing its links. */
struct driver *member_fleet_driver(struct member_fleet *fleet)
{
	return fleet->driver;
}

/* Starts a node with a new id on an instance; kills one that runs there. */
void member_fleet_start(struct member_fleet *fleet, uint32_t instance)
{
	struct member_slot *slot = &fleet->slots[instance];
	struct membership_options options = fleet->options.membership;
	struct endpoint seeds[SEED_NODE_COUNT];

	member_fleet_kill(fleet, instance);
	slot->node_id = fleet->next_node_id++;
	options.seed = fleet->options.seed;
	options.self.node_id = slot->node_id;
	options.self.zone_id = member_fleet_zone(fleet, instance) + 1;
	options.self.region_id = 1;
	options.self.control = endpoint_of(instance);
	options.self.packets = options.self.control;
	options.callbacks = (struct membership_callbacks){
		.context = slot,
		.send = on_send,
		.view_changed = on_view,
		.event = on_event,
	};
	slot->membership =
		membership_new(&options, driver_now_ms(fleet->driver));
	for (uint32_t i = 0; i < SEED_NODE_COUNT; i++)
		seeds[i] = endpoint_of(i);
	membership_set_seeds(slot->membership, seeds, SEED_NODE_COUNT);
}

/* Kills a node without a message to the others. */
void member_fleet_kill(struct member_fleet *fleet, uint32_t instance)
{
	struct member_slot *slot = &fleet->slots[instance];

	membership_free(slot->membership);
	slot->membership = NULL;
}

/* Makes a node announce that it is leaving. */
void member_fleet_leave(struct member_fleet *fleet, uint32_t instance)
{
	membership_leave(fleet->slots[instance].membership,
			 driver_now_ms(fleet->driver));
}

/* Stops a node, which announces that it has left. */
void member_fleet_stop(struct member_fleet *fleet, uint32_t instance)
{
	membership_stop(fleet->slots[instance].membership,
			driver_now_ms(fleet->driver));
	member_fleet_kill(fleet, instance);
}

/* Pauses or resumes a node; messages to a paused one are held. */
void member_fleet_pause(struct member_fleet *fleet, uint32_t instance,
			bool is_paused)
{
	fleet->slots[instance].is_paused = is_paused;
	driver_pause(fleet->driver, instance, is_paused);
}

/* Cuts or restores all links between a zone and the others, both ways. */
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

/* Returns the zone of an instance, counted from 0. */
uint32_t member_fleet_zone(const struct member_fleet *fleet, uint32_t instance)
{
	return instance % fleet->options.zone_count;
}

/* Returns the id of the node that runs, or last ran, on an instance. */
uint64_t member_fleet_node_id(const struct member_fleet *fleet,
			      uint32_t instance)
{
	return fleet->slots[instance].node_id;
}

/* Returns a node's view, or NULL if the node does not run. */
const struct node_view *member_fleet_view(const struct member_fleet *fleet,
					  uint32_t instance)
{
	const struct member_slot *slot = &fleet->slots[instance];

	return slot->membership ? membership_view(slot->membership) : NULL;
}

/* Returns a node's state in the viewer's view; DEAD if it is not there. */
enum node_state member_fleet_state(const struct member_fleet *fleet,
				   uint32_t viewer, uint32_t instance)
{
	const struct node *node =
		node_view_find(member_fleet_view(fleet, viewer),
			       member_fleet_node_id(fleet, instance));

	return node ? node->state : NODE_DEAD;
}

/* Returns how many nodes serve in the viewer's view, itself included. */
uint32_t member_fleet_serving_count(const struct member_fleet *fleet,
				    uint32_t viewer)
{
	const struct node_view *view = member_fleet_view(fleet, viewer);
	uint32_t count = 0;

	for (uint32_t i = 0; i < node_view_count(view); i++)
		count += node_view_at(view, i)->state == NODE_SERVING;
	return count;
}

/* Returns whether a node runs, paused or not. */
bool member_fleet_is_running(const struct member_fleet *fleet,
			     uint32_t instance)
{
	return fleet->slots[instance].membership != NULL;
}

/*
 * Returns whether exactly the running nodes serve in every running node's view.
 */
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

/* Returns the bytes that an instance has sent, with IP and UDP headers. */
uint64_t member_fleet_sent_bytes(const struct member_fleet *fleet,
				 uint32_t instance)
{
	return fleet->slots[instance].sent_bytes;
}

/* Returns the bytes that an instance has received, with IP and UDP headers. */
uint64_t member_fleet_received_bytes(const struct member_fleet *fleet,
				     uint32_t instance)
{
	return fleet->slots[instance].received_bytes;
}
