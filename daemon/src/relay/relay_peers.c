#include "relay_peers.h"

#include "peer_flows.h"
#include "peer_list.h"

#include <core/relay_message.h>
#include <core/relay_report.h>
#include <core/zone.h>
#include <core/zone_beat.h>
#include <string.h>
#include <task/timer.h>
#include <task/udp_socket.h>
#include <wire/relay_codec.h>

#define RECEIVE_BUFFER_BYTES (256 * 1024)

/*
 * Bandwidth for load reports to the nodes of this zone and of other zones. All
 * control traffic of a node together must stay within 14 KB/s. Other zones get
 * less, as they send flows to this zone's targets only when their own zone
 * is full, and traffic between zones is charged for.
 */
#define OWN_ZONE_BYTES_PER_S 8000
#define OTHER_ZONES_BYTES_PER_S 2000

/*
 * Minimum intervals between reports, even if the bandwidth allows more: each
 * report wakes up its receivers.
 */
#define OWN_ZONE_MIN_INTERVAL_MS 25
#define OTHER_ZONES_MIN_INTERVAL_MS 200

/* An unchanged report is resent before its receivers expire the last one. */
#define UNCHANGED_INTERVAL_MS 500

/*
 * The nodes of this zone, or those of all other zones: the schedule of load
 * reports to them, and the last report that was sent.
 */
struct report_group {
	bool is_own_zone;
	uint32_t bytes_per_s;
	uint32_t min_interval_ms;
	int64_t next_ms;
	int64_t last_sent_ms;
	uint32_t last_datagram_bytes;
	uint8_t last_datagram[RELAY_DATAGRAM_BYTES_MAX];
};

struct relay_peers {
	struct relay_peers_options options;
	struct udp_socket *socket;
	struct peer_flows *flows;
	GArray *list;
	/* Maps each node id to the time when the node's last report arrived. */
	GHashTable *last_report_ms;
	uint64_t self_id;
	uint32_t zone_id;
	struct report_group own_zone;
	struct report_group other_zones;
	struct zone_beat beat;
};

static void increment(struct relay_peers *peers, uint32_t counter)
{
	counter_set_add(peers->options.counters, counter, 1);
}

/*
 * Returns how long a report is valid. Its sender may send the next one when the
 * bandwidth, the same on all nodes, has covered this one.
 */
static uint32_t report_valid_ms(const struct relay_peers *peers,
				const struct relay_peer *sender,
				uint32_t length_bytes)
{
	bool is_own_zone = sender->zone_id == peers->zone_id;

	return relay_report_valid_ms(relay_report_interval_ms(
		peer_list_receiver_count(peers->list, sender, is_own_zone),
		length_bytes,
		is_own_zone ? OWN_ZONE_BYTES_PER_S : OTHER_ZONES_BYTES_PER_S));
}

static void record_report_gap(struct relay_peers *peers, uint64_t node_id)
{
	int64_t now_ms = task_now_ms();
	int64_t *last_report_ms =
		g_hash_table_lookup(peers->last_report_ms, &node_id);

	if (last_report_ms) {
		histogram_set_add(peers->options.times, RELAY_TIME_REPORT_GAP,
				  now_ms - *last_report_ms);
		*last_report_ms = now_ms;
		return;
	}
	g_hash_table_insert(peers->last_report_ms,
			    g_memdup2(&node_id, sizeof(node_id)),
			    g_memdup2(&now_ms, sizeof(now_ms)));
}

static void handle_message(struct relay_peers *peers,
			   const struct relay_peer *sender,
			   const struct relay_message *message,
			   uint32_t length_bytes)
{
	struct relay_director *director = peers->options.director;

	if (message->kind == RELAY_MESSAGE_LOADS) {
		record_report_gap(peers, message->node_id);
		relay_loads_update(
			relay_director_loads(director), message->node_id,
			message->loads, message->load_count,
			task_now_ms() +
				report_valid_ms(peers, sender, length_bytes));
		return;
	}
	if (message->kind == RELAY_MESSAGE_ZONE)
		relay_silence_handle_report(relay_director_silence(director),
					    &message->zone, task_now_ms());
	if (message->kind == RELAY_MESSAGE_TARGET)
		relay_director_handle_target_report(director, &message->target,
						    task_now_ms());
	if (message->kind == RELAY_MESSAGE_FOUND)
		counter_set_add(peers->options.counters, RELAY_FLOWS_FOUND,
				message->flow_count);
	peer_flows_handle(peers->flows, sender, message, task_now_ms());
}

static void on_datagram(void *context, const struct endpoint *from,
			const uint8_t *bytes, uint32_t length_bytes)
{
	struct relay_peers *peers = context;
	const struct relay_peer *sender = peer_list_find(peers->list, from);
	struct relay_message message;

	if (!relay_codec_decode(&message, bytes, length_bytes)) {
		increment(peers, RELAY_PEER_MESSAGES_MALFORMED);
	} else if (!sender) {
		increment(peers, RELAY_PEER_MESSAGES_STRAY);
		peers->options.on_unknown_peer(peers->options.context, from);
	} else {
		increment(peers, RELAY_PEER_MESSAGES_RECEIVED);
		relay_silence_record_message(
			relay_director_silence(peers->options.director),
			sender->zone_id, task_now_ms());
		handle_message(peers, sender, &message, length_bytes);
	}
}

/*
 * Sends a datagram to the other nodes of this zone or to the nodes of all other
 * zones. Returns the number of these nodes.
 */
static uint32_t send_to_peers(struct relay_peers *peers, bool is_own_zone,
			      const uint8_t *bytes, uint32_t length_bytes)
{
	uint32_t peer_count = 0;

	for (guint i = 0; i < peers->list->len; i++) {
		const struct relay_peer *peer =
			&g_array_index(peers->list, struct relay_peer, i);

		if (peer->node_id == peers->self_id ||
		    (peer->zone_id == peers->zone_id) != is_own_zone)
			continue;
		if (udp_socket_send(peers->socket, &peer->endpoint, bytes,
				    length_bytes))
			increment(peers, RELAY_PEER_MESSAGES_SENT);
		peer_count++;
	}
	return peer_count;
}

static uint32_t encode_report(struct relay_peers *peers, uint8_t *bytes)
{
	struct relay_message message = {.kind = RELAY_MESSAGE_LOADS,
					.node_id = peers->self_id};

	message.load_count = relay_loads_collect(
		relay_director_loads(peers->options.director), message.loads,
		RELAY_MESSAGE_LOAD_COUNT_MAX);
	return relay_codec_encode(&message, bytes, RELAY_DATAGRAM_BYTES_MAX);
}

/*
 * Sends a load report if one is due. The next one is due when the group's
 * bandwidth has covered the bytes of this one.
 */
static void send_report(struct relay_peers *peers, struct report_group *group,
			int64_t now_ms)
{
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];
	uint32_t length_bytes;
	uint32_t receiver_count;
	uint32_t wait_ms;

	if (now_ms < group->next_ms)
		return;
	length_bytes = encode_report(peers, bytes);
	group->next_ms = now_ms + group->min_interval_ms;
	if (length_bytes == group->last_datagram_bytes &&
	    memcmp(bytes, group->last_datagram, length_bytes) == 0 &&
	    now_ms - group->last_sent_ms < UNCHANGED_INTERVAL_MS)
		return;
	receiver_count =
		send_to_peers(peers, group->is_own_zone, bytes, length_bytes);
	wait_ms = relay_report_interval_ms(receiver_count, length_bytes,
					   group->bytes_per_s);
	group->next_ms = now_ms + MAX(wait_ms, group->min_interval_ms);
	group->last_sent_ms = now_ms;
	group->last_datagram_bytes = length_bytes;
	memcpy(group->last_datagram, bytes, length_bytes);
}

/*
 * Encodes a message from this node. Returns its length in bytes, 0 if it is too
 * long.
 */
static uint32_t encode(const struct relay_peers *peers,
		       const struct relay_message *message, uint8_t *bytes)
{
	struct relay_message copy = *message;

	copy.node_id = peers->self_id;
	return relay_codec_encode(&copy, bytes, RELAY_DATAGRAM_BYTES_MAX);
}

static void send_to_zone(void *context, const struct relay_message *message)
{
	relay_peers_send_to_own_zone(context, message);
}

static uint32_t send_to_all(void *context, const struct relay_message *message)
{
	struct relay_peers *peers = context;
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];
	uint32_t length_bytes = encode(peers, message, bytes);
	uint32_t receiver_count =
		send_to_peers(peers, true, bytes, length_bytes);

	receiver_count += send_to_peers(peers, false, bytes, length_bytes);
	counter_set_add(peers->options.counters, RELAY_FLOWS_SOUGHT,
			message->flow_count);
	return relay_report_interval_ms(receiver_count, length_bytes,
					OTHER_ZONES_BYTES_PER_S);
}

static void send_to(void *context, const struct relay_peer *peer,
		    const struct relay_message *message)
{
	struct relay_peers *peers = context;
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];
	uint32_t length_bytes = encode(peers, message, bytes);

	if (udp_socket_send(peers->socket, &peer->endpoint, bytes,
			    length_bytes))
		increment(peers, RELAY_PEER_MESSAGES_SENT);
}

static void send_beat(void *context, const struct relay_peer *peer)
{
	static const struct relay_message message = {
		.kind = RELAY_MESSAGE_MOVED};

	send_to(context, peer, &message);
}

/*
 * Opens the socket for messages between nodes in the task. Free the result with
 * relay_peers_free. Fails with TASK_ERROR.
 */
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
	struct peer_flows_options flows;

	peers->options = *options;
	peers->list = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));
	peers->last_report_ms = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	peers->self_id = relay_peer_id_from_name(settings->node_name);
	peers->zone_id = zone_id_from_name(settings->zone);
	peers->own_zone = (struct report_group){
		.is_own_zone = true,
		.bytes_per_s = OWN_ZONE_BYTES_PER_S,
		.min_interval_ms = OWN_ZONE_MIN_INTERVAL_MS,
	};
	peers->other_zones = (struct report_group){
		.bytes_per_s = OTHER_ZONES_BYTES_PER_S,
		.min_interval_ms = OTHER_ZONES_MIN_INTERVAL_MS,
	};
	peers->beat.number = (uint32_t)peers->self_id;
	flows = (struct peer_flows_options){
		.director = options->director,
		.context = peers,
		.send_to_zone = send_to_zone,
		.send_to_all = send_to_all,
		.send_to = send_to,
	};
	peers->flows = peer_flows_new(task, &flows);
	peers->socket = udp_socket_new(task, &socket, error);
	if (peers->socket)
		return peers;
	relay_peers_free(peers);
	return NULL;
}

/* Closes the socket and frees peers; NULL is allowed. */
void relay_peers_free(struct relay_peers *peers)
{
	if (!peers)
		return;
	peer_flows_free(peers->flows);
	udp_socket_free(peers->socket);
	g_array_free(peers->list, TRUE);
	g_hash_table_destroy(peers->last_report_ms);
	g_free(peers);
}

static gboolean is_unlisted(gpointer node_id, gpointer last_report_ms,
			    gpointer data)
{
	const GArray *list = data;

	for (guint i = 0; i < list->len; i++) {
		if (g_array_index(list, struct relay_peer, i).node_id ==
		    *(const uint64_t *)node_id)
			return FALSE;
	}
	return TRUE;
}

static uint32_t own_zone_count(const struct relay_peers *peers)
{
	uint32_t count = 0;

	for (guint i = 0; i < peers->list->len; i++)
		count += g_array_index(peers->list, struct relay_peer, i)
				 .zone_id == peers->zone_id;
	return count;
}

/* Sets the nodes registered in the store, an array of struct relay_peer. */
void relay_peers_set(struct relay_peers *peers, const GArray *list)
{
	g_array_set_size(peers->list, 0);
	g_array_append_vals(peers->list, list->data, list->len);
	g_hash_table_foreach_remove(peers->last_report_ms, is_unlisted,
				    peers->list);
	counter_set_assign(peers->options.counters, RELAY_PEERS, list->len);
	relay_director_set_node_count(peers->options.director,
				      own_zone_count(peers));
}

/* Queues the report of a flow that this node has taken over. */
void relay_peers_queue_moved_flow(struct relay_peers *peers,
				  struct hash128 flow_hash, uint32_t tag)
{
	peer_flows_queue_moved(peers->flows, flow_hash, tag);
}

/*
 * Sends a message, which stays the caller's, to the other nodes of this node's
 * zone. Its node_id is set here.
 */
void relay_peers_send_to_own_zone(struct relay_peers *peers,
				  const struct relay_message *message)
{
	uint8_t bytes[RELAY_DATAGRAM_BYTES_MAX];
	uint32_t length_bytes = encode(peers, message, bytes);

	send_to_peers(peers, true, bytes, length_bytes);
}

/* Sends the load reports, questions and signs of life that are due. */
void relay_peers_tick(struct relay_peers *peers, int64_t now_ms)
{
	send_report(peers, &peers->own_zone, now_ms);
	send_report(peers, &peers->other_zones, now_ms);
	peer_flows_tick(peers->flows, now_ms);
	if (zone_beat_is_due(&peers->beat, now_ms))
		zone_beat_for_each(&peers->beat, peers->list, peers->zone_id,
				   peers, send_beat);
}
