#include <fakes/faulty_node.h>

#include "node_directory.h"
#include "opening_copies.h"

#include <fakes/flow_packet.h>
#include <string.h>
#include <task/task.h>
#include <task/udp_socket.h>

#define MAILBOX_CAPACITY 256
/*
 * FAULTY_NODE_RESETS_OPEN_FLOWS and FAULTY_NODE_CORRUPTS_PACKETS affect one of
 * this many packets received.
 */
#define FAULT_INTERVAL_PACKETS 8
/*
 * How long FAULTY_NODE_REVERTS_ROUTES obeys the removal of a route before it
 * uses removed routes again.
 */
#define REVERT_AFTER_MS 3000
/*
 * How long after an opening packet FAULTY_NODE_REPEATS_OPENINGS sends it again:
 * by then, the flow is open and may be in a pause.
 */
#define REPEAT_AFTER_MS 1000
#define DATAGRAM_BYTES_MAX (FLOW_PACKET_HOST_ID_BYTES + FLOW_PACKET_BYTES_MAX)

struct faulty_node {
	struct faulty_node_options options;
	struct task *task;
	struct udp_socket *socket;
	GRand *rand;
	struct node_directory *directory;
	struct opening_copies *copies;
	/* Maps the hash of a caller's address to a host id. */
	GHashTable *records;
	uint32_t packet_count;
	int64_t last_removal_ms;
};

enum node_update_kind {
	NODE_UPDATE_HOST,
	NODE_UPDATE_FOREIGN_ENTRY,
	NODE_UPDATE_ROUTE,
	NODE_UPDATE_EVACUATION,
};

/* A change of what the node was told; kind selects the member that is set. */
struct node_update {
	struct message message;
	enum node_update_kind kind;
	struct faulty_node_host host;
	struct faulty_node_route route;
	struct faulty_node_evacuation evacuation;
};

static void update_free(struct message *message)
{
	g_free(message);
}

static const struct message_type update_type = {"wrong_node_news", update_free};

static bool has_fault(const struct faulty_node *node,
		      enum faulty_node_fault fault)
{
	return node->options.fault == fault;
}

static bool is_fault_due(const struct faulty_node *node,
			 enum faulty_node_fault fault)
{
	return has_fault(node, fault) &&
	       node->packet_count % FAULT_INTERVAL_PACKETS == 0;
}

static bool is_eligible(const struct faulty_node *node,
			const struct faulty_node_host *host, uint32_t service)
{
	bool is_draining_allowed =
		has_fault(node, FAULTY_NODE_USES_DRAINING_HOSTS);
	bool is_other_service_allowed =
		has_fault(node, FAULTY_NODE_USES_ANY_SERVICE);
	bool is_evacuated =
		node_directory_is_evacuated(node->directory, host->zone) &&
		!has_fault(node, FAULTY_NODE_IGNORES_EVACUATION);

	return !is_evacuated && (host->is_ready || is_draining_allowed) &&
	       (host->service == service || is_other_service_allowed);
}

static struct faulty_node_host *pick_host(struct faulty_node *node,
					  uint32_t service)
{
	uint32_t count = node_directory_host_count(node->directory);
	uint32_t first = count > 0 ? g_rand_int(node->rand) % count : 0;

	for (uint32_t i = 0; i < count; i++) {
		struct faulty_node_host *host = node_directory_host_at(
			node->directory, (first + i) % count);

		if (is_eligible(node, host, service))
			return host;
	}
	return NULL;
}

static void forward(struct faulty_node *node,
		    const struct faulty_node_host *host, const uint8_t *bytes,
		    uint32_t length_bytes)
{
	uint8_t datagram[DATAGRAM_BYTES_MAX];
	uint8_t *packet = datagram + FLOW_PACKET_HOST_ID_BYTES;

	flow_packet_write_host_id(datagram, host->host_id);
	memcpy(packet, bytes, length_bytes);
	flow_packet_write_tag(packet, (uint32_t)host->host_id);
	if (is_fault_due(node, FAULTY_NODE_CORRUPTS_PACKETS))
		packet[length_bytes - 1] ^= 1;
	udp_socket_send(node->socket, &host->endpoint, datagram,
			FLOW_PACKET_HOST_ID_BYTES + length_bytes);
}

static void send_reset(struct faulty_node *node,
		       const struct flow_packet *packet)
{
	uint8_t bytes[FLOW_PACKET_HEADER_BYTES];
	struct endpoint to = packet->source;

	flow_packet_write_injected_reset(bytes, packet);
	to.port = node->options.caller_port;
	udp_socket_send(node->socket, &to, bytes, sizeof(bytes));
}

static void keep_copy(struct faulty_node *node,
		      const struct faulty_node_host *host, const uint8_t *bytes,
		      uint32_t length_bytes)
{
	struct opening_copy copy = {
		.sent_ms = task_now_ms(),
		.host_id = host->host_id,
		.service = host->service,
		.length_bytes = length_bytes,
	};

	memcpy(copy.bytes, bytes, length_bytes);
	opening_copies_add(node->copies, &copy);
}

static void handle_opening(struct faulty_node *node,
			   const struct flow_packet *packet,
			   const uint8_t *bytes, uint32_t length_bytes)
{
	const struct faulty_node_route *route = node_directory_find_route(
		node->directory, &packet->destination);
	bool is_reverted =
		has_fault(node, FAULTY_NODE_REVERTS_ROUTES) &&
		task_now_ms() - node->last_removal_ms >= REVERT_AFTER_MS;
	bool is_removed_used =
		has_fault(node, FAULTY_NODE_KEEPS_ROUTES) || is_reverted;
	const struct faulty_node_host *host =
		route && (route->is_present || is_removed_used)
			? pick_host(node, route->service)
			: NULL;

	if (!host || has_fault(node, FAULTY_NODE_RESETS_NEW_FLOWS))
		send_reset(node, packet);
	else if (!has_fault(node, FAULTY_NODE_DROPS_OPENINGS))
		forward(node, host, bytes, length_bytes);
	if (host && has_fault(node, FAULTY_NODE_REPEATS_OPENINGS))
		keep_copy(node, host, bytes, length_bytes);
}

static void repeat_due_openings(struct faulty_node *node)
{
	struct opening_copy copy;

	while (opening_copies_take(node->copies, &copy,
				   task_now_ms() - REPEAT_AFTER_MS)) {
		const struct faulty_node_host *host =
			pick_host(node, copy.service);

		if (host && host->host_id != copy.host_id)
			forward(node, host, copy.bytes, copy.length_bytes);
	}
}

/* Returns the host of the first flow from the packet's port. */
static const struct faulty_node_host *
recorded_host(struct faulty_node *node, const struct flow_packet *packet)
{
	gpointer key = GSIZE_TO_POINTER(endpoint_hash(&packet->source, 0));

	if (!g_hash_table_contains(node->records, key))
		g_hash_table_insert(node->records, key,
				    GSIZE_TO_POINTER(packet->tag));
	return node_directory_find_host(
		node->directory,
		GPOINTER_TO_SIZE(g_hash_table_lookup(node->records, key)));
}

static void handle_flow_packet(struct faulty_node *node,
			       const struct flow_packet *packet,
			       const uint8_t *bytes, uint32_t length_bytes)
{
	const struct faulty_node_host *host =
		node_directory_find_host(node->directory, packet->tag);

	if (has_fault(node, FAULTY_NODE_MOVES_FLOWS) && host)
		host = pick_host(node, host->service);
	if (has_fault(node, FAULTY_NODE_KEEPS_RECORDS))
		host = recorded_host(node, packet);
	if (!host)
		return;
	if (is_fault_due(node, FAULTY_NODE_RESETS_OPEN_FLOWS))
		send_reset(node, packet);
	else
		forward(node, host, bytes, length_bytes);
}

static void on_packet(void *context, const struct endpoint *from,
		      const uint8_t *bytes, uint32_t length_bytes)
{
	struct faulty_node *node = context;
	struct flow_packet packet = {.flags = 0};

	if (flow_packet_read(&packet, bytes, length_bytes) != FLOW_PACKET_VALID)
		return;
	node->packet_count++;
	repeat_due_openings(node);
	if (packet.flags == FLOW_PACKET_SYN)
		handle_opening(node, &packet, bytes, length_bytes);
	else
		handle_flow_packet(node, &packet, bytes, length_bytes);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct faulty_node *node = context;
	struct udp_socket_options options = {
		.listen = node->options.listen,
		.context = node,
		.receive = on_packet,
	};

	node->socket = udp_socket_new(task, &options, error);
	return node->socket != NULL;
}

static void handle_foreign_entry(struct faulty_node *node,
				 const struct faulty_node_host *claimed)
{
	struct faulty_node_host *host =
		node_directory_find_host(node->directory, claimed->host_id);

	if (host && has_fault(node, FAULTY_NODE_TRUSTS_FOREIGN_SERVICE))
		host->service = claimed->service;
	if (host && has_fault(node, FAULTY_NODE_TRUSTS_FOREIGN_STATE))
		host->is_ready = claimed->is_ready;
}

static void handle(void *context, struct message *message)
{
	struct faulty_node *node = context;
	const struct node_update *update = (const struct node_update *)message;

	switch (update->kind) {
	case NODE_UPDATE_HOST:
		node_directory_store_host(node->directory, &update->host);
		break;
	case NODE_UPDATE_FOREIGN_ENTRY:
		handle_foreign_entry(node, &update->host);
		break;
	case NODE_UPDATE_ROUTE:
		if (!update->route.is_present)
			node->last_removal_ms = task_now_ms();
		node_directory_store_route(node->directory, &update->route);
		break;
	case NODE_UPDATE_EVACUATION:
		node_directory_store_evacuation(node->directory,
						&update->evacuation);
		break;
	}
	message_free(message);
}

static void stop(void *context)
{
	struct faulty_node *node = context;

	udp_socket_free(node->socket);
	node->socket = NULL;
}

/*
 * Starts a node without hosts or routes. Free it with faulty_node_free. Fails
 * with TASK_ERROR.
 */
struct faulty_node *faulty_node_new(const struct faulty_node_options *options,
				    GError **error)
{
	struct faulty_node *node = g_new0(struct faulty_node, 1);
	struct task_options task_options = {
		.name = "wrong-node",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = node,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	node->options = *options;
	node->rand = g_rand_new_with_seed(options->listen.port);
	node->directory = node_directory_new();
	node->copies = opening_copies_new();
	node->records = g_hash_table_new(g_direct_hash, g_direct_equal);
	node->task = task_new(&task_options, error);
	if (node->task && task_start(node->task, error))
		return node;
	faulty_node_free(node);
	return NULL;
}

/* Stops and frees the node; NULL is allowed. */
void faulty_node_free(struct faulty_node *node)
{
	if (!node)
		return;
	task_free(node->task);
	g_rand_free(node->rand);
	node_directory_free(node->directory);
	opening_copies_free(node->copies);
	g_hash_table_destroy(node->records);
	g_free(node);
}

static struct node_update *update_new(enum node_update_kind kind)
{
	struct node_update *update = g_new0(struct node_update, 1);

	update->message.type = &update_type;
	update->kind = kind;
	return update;
}

/* Adds or replaces a host. */
void faulty_node_set_host(struct faulty_node *node,
			  const struct faulty_node_host *host)
{
	struct node_update *update = update_new(NODE_UPDATE_HOST);

	update->host = *host;
	task_post_or_free(node->task, &update->message);
}

/* Tells the node what another writer's entry claims about a host. */
void faulty_node_set_foreign_entry(struct faulty_node *node,
				   const struct faulty_node_host *claimed)
{
	struct node_update *update = update_new(NODE_UPDATE_FOREIGN_ENTRY);

	update->host = *claimed;
	task_post_or_free(node->task, &update->message);
}

/* Adds or replaces a route. */
void faulty_node_set_route(struct faulty_node *node,
			   const struct faulty_node_route *route)
{
	struct node_update *update = update_new(NODE_UPDATE_ROUTE);

	update->route = *route;
	task_post_or_free(node->task, &update->message);
}

/* Begins the evacuation of a zone or takes it back. */
void faulty_node_set_evacuation(struct faulty_node *node,
				const struct faulty_node_evacuation *evacuation)
{
	struct node_update *update = update_new(NODE_UPDATE_EVACUATION);

	update->evacuation = *evacuation;
	task_post_or_free(node->task, &update->message);
}
