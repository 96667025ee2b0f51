#include "relay_peers.h"

#include <core/relay_message.h>
#include <core/zone.h>
#include <string.h>
#include <task/udp_socket.h>
#include <wire/relay_codec.h>

#define RECEIVE_BUFFER_BYTES (256 * 1024)

/*
 * Bytes a second for reports within the zone and to other zones, of the 14 KB
 * that control may cost a node. Other zones get a target's new flows only
 * when the own one is full, and bytes to them are charged for.
 */
#define ZONE_BYTES_PER_S 8000
#define OTHER_BYTES_PER_S 2000

/* Reports come no faster, whatever the budget: each wakes the receivers. */
#define ZONE_INTERVAL_LEAST_MS 25
#define OTHER_INTERVAL_LEAST_MS 200

/* An unchanged report is repeated so often, before the last one is too old. */
#define UNCHANGED_INTERVAL_MS 500

/* IPv4 and UDP headers. */
#define NETWORK_HEADER_BYTES 28
#define MS_PER_S 1000

/* Reports to one group of nodes. */
struct audience {
	bool is_own_zone;
	uint32_t bytes_per_s;
	uint32_t interval_least_ms;
	int64_t next_ms;
	int64_t sent_ms;
	uint32_t sent_bytes;
	uint8_t sent[RELAY_DATAGRAM_BYTES_MAX];
};

struct relay_peers {
	struct relay_peers_options options;
	struct udp_socket *socket;
	GArray *list;
	/* When each listed node's last report came. */
	GHashTable *heard_ms;
	uint64_t self_id;
	uint32_t zone_id;
	struct audience zone;
	struct audience others;
	struct relay_message moved;
};

static void count(struct relay_peers *peers, uint32_t row)
{
	counter_set_add(peers->options.counters, row, 1);
}

static bool is_known(const struct relay_peers *peers,
		     const struct endpoint *from)
{
	for (guint i = 0; i < peers->list->len; i++) {
		if (endpoint_equal(
			    &g_array_index(peers->list, struct relay_peer, i)
				     .endpoint,
			    from))
			return true;
	}
	return false;
}

static void note_gap(struct relay_peers *peers, uint64_t node_id)
{
	int64_t now_ms = task_now_ms();
	int64_t *heard_ms = g_hash_table_lookup(peers->heard_ms, &node_id);

	if (heard_ms) {
		histogram_set_add(peers->options.times, RELAY_TIME_REPORT_GAP,
				  now_ms - *heard_ms);
		*heard_ms = now_ms;
		return;
	}
	g_hash_table_insert(peers->heard_ms,
			    g_memdup2(&node_id, sizeof(node_id)),
			    g_memdup2(&now_ms, sizeof(now_ms)));
}

static void take(struct relay_peers *peers, const struct relay_message *message)
{
	struct relay_director *director = peers->options.director;

	if (message->kind == RELAY_MESSAGE_LOADS) {
		note_gap(peers, message->node_id);
		relay_loads_update(relay_director_loads(director),
				   message->node_id, message->loads,
				   message->load_count, task_now_ms());
		return;
	}
	for (uint32_t i = 0; i < message->flow_count; i++)
		relay_director_flow_moved(director, message->flows[i]);
}

static void on_datagram(void *context, const struct endpoint *from,
			const uint8_t *bytes, uint32_t length_bytes)
{
	struct relay_peers *peers = context;
	struct relay_message message;

	if (!relay_codec_decode(&message, bytes, length_bytes)) {
		count(peers, RELAY_PEER_MALFORMED);
	} else if (!is_known(peers, from)) {
		count(peers, RELAY_PEER_STRAY);
		peers->options.on_stranger(peers->options.context, from);
	} else {
		count(peers, RELAY_PEER_RECEIVED);
		take(peers, &message);
	}
}

static uint32_t send_to(struct relay_peers *peers, bool is_own_zone,
			const uint8_t *bytes, uint32_t length_bytes)
{
	uint32_t sent_count = 0;

	for (guint i = 0; i < peers->list->len; i++) {
		const struct relay_peer *peer =
			&g_array_index(peers->list, struct relay_peer, i);

		if (peer->node_id == peers->self_id ||
		    (peer->zone_id == peers->zone_id) != is_own_zone)
			continue;
		if (udp_socket_send(peers->socket, &peer->endpoint, bytes,
				    length_bytes))
			count(peers, RELAY_PEER_SENT);
		sent_count++;
	}
	return sent_count;
}

/* The rows of a report beyond what a datagram holds are left out. */
static void add_load(void *context, struct relay_target *known)
{
	struct relay_message *message = context;

	if (known->own_open_count == 0 ||
	    message->load_count == RELAY_MESSAGE_LOAD_COUNT_MAX)
		return;
	message->loads[message->load_count++] = (struct relay_load){
		.tag = known->tag, .open_count = known->own_open_count};
}

static uint32_t write_report(struct relay_peers *peers, uint8_t *bytes)
{
	struct relay_message message = {.kind = RELAY_MESSAGE_LOADS,
					.node_id = peers->self_id};

	relay_directory_for_each(
		relay_director_directory(peers->options.director), &message,
		add_load);
	return relay_codec_encode(&message, bytes, RELAY_DATAGRAM_BYTES_MAX);
}

/* The next report waits until this one's bytes fit the budget. */
static void report(struct relay_peers *peers, struct audience *audience,
		   int64_t now_ms)
{
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];
	uint32_t length_bytes;
	uint32_t receiver_count;
	uint32_t wait_ms;

	if (now_ms < audience->next_ms)
		return;
	length_bytes = write_report(peers, bytes);
	audience->next_ms = now_ms + audience->interval_least_ms;
	if (length_bytes == audience->sent_bytes &&
	    memcmp(bytes, audience->sent, length_bytes) == 0 &&
	    now_ms - audience->sent_ms < UNCHANGED_INTERVAL_MS)
		return;
	receiver_count =
		send_to(peers, audience->is_own_zone, bytes, length_bytes);
	wait_ms = receiver_count * (length_bytes + NETWORK_HEADER_BYTES) *
		  MS_PER_S / audience->bytes_per_s;
	audience->next_ms = now_ms + MAX(wait_ms, audience->interval_least_ms);
	audience->sent_ms = now_ms;
	audience->sent_bytes = length_bytes;
	memcpy(audience->sent, bytes, length_bytes);
}

static void send_moved(struct relay_peers *peers)
{
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];
	uint32_t length_bytes;

	if (peers->moved.flow_count == 0)
		return;
	length_bytes = relay_codec_encode(&peers->moved, bytes, sizeof(bytes));
	send_to(peers, true, bytes, length_bytes);
	peers->moved.flow_count = 0;
}

/* Opens the socket to other nodes in the task. Fails with TASK_ERROR. */
struct relay_peers *relay_peers_new(struct task *task,
				    const struct relay_peers_options *options,
				    GError **error)
{
	struct relay_peers *peers = g_new0(struct relay_peers, 1);
	const struct settings *settings = options->settings;
	struct udp_socket_options socket = {
		.listen = settings->relay.listen_peers,
		.buffer_bytes = RECEIVE_BUFFER_BYTES,
		.context = peers,
		.receive = on_datagram,
	};

	peers->options = *options;
	peers->list = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));
	peers->heard_ms = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	peers->self_id = relay_peer_id_from_name(settings->node_name);
	peers->zone_id = zone_id_from_name(settings->zone);
	peers->zone = (struct audience){
		.is_own_zone = true,
		.bytes_per_s = ZONE_BYTES_PER_S,
		.interval_least_ms = ZONE_INTERVAL_LEAST_MS,
	};
	peers->others = (struct audience){
		.bytes_per_s = OTHER_BYTES_PER_S,
		.interval_least_ms = OTHER_INTERVAL_LEAST_MS,
	};
	peers->moved.kind = RELAY_MESSAGE_MOVED;
	peers->moved.node_id = peers->self_id;
	peers->socket = udp_socket_new(task, &socket, error);
	if (peers->socket)
		return peers;
	relay_peers_free(peers);
	return NULL;
}

/* Closes the socket and frees the list; NULL is allowed. */
void relay_peers_free(struct relay_peers *peers)
{
	if (!peers)
		return;
	udp_socket_free(peers->socket);
	g_array_free(peers->list, TRUE);
	g_hash_table_destroy(peers->heard_ms);
	g_free(peers);
}

static gboolean is_unlisted(gpointer node_id, gpointer heard_ms, gpointer data)
{
	const GArray *list = data;

	for (guint i = 0; i < list->len; i++) {
		if (g_array_index(list, struct relay_peer, i).node_id ==
		    *(const uint64_t *)node_id)
			return FALSE;
	}
	return TRUE;
}

/* Takes the nodes that the store lists, struct relay_peer. */
void relay_peers_set(struct relay_peers *peers, const GArray *list)
{
	g_array_set_size(peers->list, 0);
	g_array_append_vals(peers->list, list->data, list->len);
	g_hash_table_foreach_remove(peers->heard_ms, is_unlisted, peers->list);
	counter_set_assign(peers->options.counters, RELAY_PEERS, list->len);
}

/* Notes a flow that has come here, to be told with the next tick. */
void relay_peers_flow_moved(struct relay_peers *peers, struct hash128 print)
{
	if (peers->moved.flow_count == RELAY_MESSAGE_FLOW_COUNT_MAX)
		send_moved(peers);
	peers->moved.flows[peers->moved.flow_count++] = print;
}

/* Sends what is due. */
void relay_peers_tick(struct relay_peers *peers, int64_t now_ms)
{
	send_moved(peers);
	report(peers, &peers->zone, now_ms);
	report(peers, &peers->others, now_ms);
}
