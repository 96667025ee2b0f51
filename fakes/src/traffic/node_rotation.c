#include "node_rotation.h"

#include <event2/http.h>
#include <string.h>
#include <task/timer.h>

/*
 * As on the platform, each node is probed twice a second and two failed probes
 * in a row remove it from rotation.
 */
#define PROBE_INTERVAL_MS 500
#define PROBE_TIMEOUT_MS 450
#define FAILED_PROBE_COUNT_MAX 2
#define STATUS_OK 200
#define US_PER_MS 1000

/*
 * A node, the state of its readiness probes, and the connection of the current
 * one.
 */
struct rotation_entry {
	struct node_rotation *rotation;
	struct caller_node node;
	struct evhttp_connection *connection;
	uint32_t failed_probe_count;
	bool is_in_rotation;
	bool is_same_zone;
};

struct node_rotation {
	struct task *task;
	struct timer *timer;
	bool is_consistent_hash;
	uint32_t entry_count;
	struct rotation_entry *entries;
};

static void record_probe(struct rotation_entry *entry, bool is_ready)
{
	if (is_ready) {
		entry->failed_probe_count = 0;
		entry->is_in_rotation = true;
		return;
	}
	entry->failed_probe_count++;
	if (entry->failed_probe_count >= FAILED_PROBE_COUNT_MAX)
		entry->is_in_rotation = false;
}

static void on_probe_response(struct evhttp_request *request, void *context)
{
	record_probe(context, request && evhttp_request_get_response_code(
						 request) == STATUS_OK);
}

static void close_connection(struct rotation_entry *entry)
{
	if (entry->connection)
		evhttp_connection_free(entry->connection);
	entry->connection = NULL;
}

/*
 * Opens a new connection for each probe, since a hung connection would hide
 * that a node has recovered.
 */
static void send_probe(struct rotation_entry *entry)
{
	struct timeval timeout = {.tv_usec = PROBE_TIMEOUT_MS * US_PER_MS};
	struct evhttp_request *request;
	char address[IP_ADDR_TEXT_BYTES];

	close_connection(entry);
	ip_addr_format(&entry->node.admin.addr, address);
	entry->connection = evhttp_connection_base_new(
		task_base(entry->rotation->task), NULL, address,
		entry->node.admin.port);
	evhttp_connection_set_timeout_tv(entry->connection, &timeout);
	request = evhttp_request_new(on_probe_response, entry);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  address);
	if (evhttp_make_request(entry->connection, request, EVHTTP_REQ_GET,
				"/readyz") != 0)
		record_probe(entry, false);
}

static void on_timer(void *context)
{
	struct node_rotation *rotation = context;

	for (uint32_t i = 0; i < rotation->entry_count; i++) {
		if (rotation->entries[i].node.admin.port != 0)
			send_probe(&rotation->entries[i]);
	}
}

/*
 * Creates the rotation and sends the first probe to every node. It must be
 * freed in the same task.
 */
struct node_rotation *
node_rotation_new(const struct fake_caller_options *options, struct task *task)
{
	struct node_rotation *rotation = g_new0(struct node_rotation, 1);

	rotation->task = task;
	rotation->is_consistent_hash = options->is_consistent_hash;
	rotation->entry_count = options->node_count;
	rotation->entries = g_new0(struct rotation_entry, options->node_count);
	for (uint32_t i = 0; i < options->node_count; i++) {
		struct rotation_entry *entry = &rotation->entries[i];

		entry->rotation = rotation;
		entry->node = options->nodes[i];
		entry->is_in_rotation = entry->node.admin.port == 0;
		entry->is_same_zone =
			strcmp(entry->node.zone, options->zone) == 0;
	}
	rotation->timer = timer_new(task, rotation, on_timer);
	timer_every(rotation->timer, PROBE_INTERVAL_MS);
	on_timer(rotation);
	return rotation;
}

/* Frees the rotation and its connections; NULL is allowed. */
void node_rotation_free(struct node_rotation *rotation)
{
	if (!rotation)
		return;
	timer_free(rotation->timer);
	for (uint32_t i = 0; i < rotation->entry_count; i++)
		close_connection(&rotation->entries[i]);
	g_free(rotation->entries);
	g_free(rotation);
}

/*
 * Selects the nodes of the router's own zone or those of all other zones.
 * includes_out_of_rotation also selects nodes that are not in rotation.
 */
struct entry_filter {
	bool is_same_zone;
	bool includes_out_of_rotation;
};

static bool matches_filter(const struct rotation_entry *entry,
			   const struct entry_filter *filter)
{
	return entry->is_same_zone == filter->is_same_zone &&
	       (entry->is_in_rotation || filter->includes_out_of_rotation);
}

static uint32_t count_matching(const struct node_rotation *rotation,
			       const struct entry_filter *filter)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < rotation->entry_count; i++)
		count += matches_filter(&rotation->entries[i], filter);
	return count;
}

/*
 * If no node of the zone is in rotation, selects the nodes of other zones that
 * are in rotation, or all nodes of the zone if there are none. If fewer than
 * half of the zone's nodes are in rotation, selects all of them, otherwise
 * those in rotation.
 */
static struct entry_filter choose_filter(const struct node_rotation *rotation)
{
	struct entry_filter zone_in_rotation = {true, false};
	struct entry_filter zone_any = {true, true};
	struct entry_filter other_zones_in_rotation = {false, false};
	uint32_t in_rotation_count =
		count_matching(rotation, &zone_in_rotation);
	uint32_t zone_count = count_matching(rotation, &zone_any);

	if (in_rotation_count == 0)
		return count_matching(rotation, &other_zones_in_rotation) > 0
			       ? other_zones_in_rotation
			       : zone_any;
	return in_rotation_count * 2 < zone_count ? zone_any : zone_in_rotation;
}

static uint64_t mix_hash(uint64_t value)
{
	value = (value ^ (value >> 31)) * 0x9e3779b97f4a7c15u;
	return value ^ (value >> 29);
}

/* Rendezvous hashing: picks the node with the highest score for the flow. */
static uint32_t pick_consistent(const struct node_rotation *rotation,
				const struct entry_filter *filter,
				uint64_t flow_hash)
{
	uint64_t best = 0;
	uint32_t picked = 0;

	for (uint32_t i = 0; i < rotation->entry_count; i++) {
		uint64_t score = mix_hash(flow_hash + i * 0x10001u) | 1;

		if (matches_filter(&rotation->entries[i], filter) &&
		    score > best) {
			best = score;
			picked = i;
		}
	}
	return picked;
}

static uint32_t pick_nth(const struct node_rotation *rotation,
			 const struct entry_filter *filter, uint32_t position)
{
	for (uint32_t i = 0; i < rotation->entry_count; i++) {
		if (matches_filter(&rotation->entries[i], filter) &&
		    position-- == 0)
			return i;
	}
	return 0;
}

/*
 * Returns the index of the node that packets of a flow are currently sent to.
 */
uint32_t node_rotation_pick(const struct node_rotation *rotation,
			    uint64_t flow_hash)
{
	struct entry_filter filter = choose_filter(rotation);
	uint32_t count = count_matching(rotation, &filter);

	if (rotation->is_consistent_hash)
		return pick_consistent(rotation, &filter, flow_hash);
	return pick_nth(rotation, &filter,
			count > 0 ? (uint32_t)(mix_hash(flow_hash) % count)
				  : 0);
}
