#include <core/flow_outbox.h>

#include <glib.h>

/* Maximum number of unacknowledged messages per node. */
#define WINDOW_SIZE 8
#define RETRANSMIT_TIMEOUT_INITIAL_MS 1500
#define ACK_DELAY_MS 500
#define ACK_MASK_BITS 32
#define RETRANSMIT_TIMEOUT_MAX_MS 8000
/* Beyond this, flow_outbox_add_entry rejects entries for the node. */
#define QUEUED_MESSAGES_PER_PEER_MAX 4
#define MS_PER_S 1000
/* The kinds that carry flow entries: FLOW_MIRROR and FLOW_HANDOVER. */
#define BATCH_KIND_COUNT 2

/* How long a batch waits for more entries before it is sent. */
static const uint32_t batch_max_ages_ms[BATCH_KIND_COUNT] = {
	[FLOW_MIRROR] = 2000,
	[FLOW_HANDOVER] = 200,
};

/* A message that has been sent but not yet acknowledged. */
struct sent_message {
	struct flow_message *message;
	int64_t sent_ms;
	/* Doubles with each retransmission, to send little to a dead node. */
	int64_t retransmit_timeout_ms;
};

/* A batch that still accepts entries. */
struct open_batch {
	struct flow_message *message;
	int64_t opened_ms;
};

/* Send and acknowledgement state for one node. */
struct peer {
	uint64_t node_id;
	uint32_t next_sequence;
	struct open_batch open_batches[BATCH_KIND_COUNT];
	GQueue queue;
	struct sent_message window[WINDOW_SIZE];
	/*
	 * Highest sequence number received; bit n of the mask marks the one
	 * that is n + 1 lower.
	 */
	uint32_t last_received;
	uint32_t received_mask;
	bool is_ack_due;
	int64_t ack_since_ms;
};

/* The byte budget is a token bucket that holds at most one second's worth. */
struct flow_outbox {
	struct flow_outbox_options options;
	GHashTable *peers;
	int64_t budget_bytes;
	int64_t last_refill_ms;
	uint64_t sent_bytes;
};

static void free_peer(gpointer data)
{
	struct peer *peer = data;

	for (uint32_t i = 0; i < BATCH_KIND_COUNT; i++)
		g_free(peer->open_batches[i].message);
	for (uint32_t i = 0; i < WINDOW_SIZE; i++)
		g_free(peer->window[i].message);
	g_queue_clear_full(&peer->queue, g_free);
	g_free(peer);
}

/*
 * Creates an outbox with a byte budget for one second. Free it with
 * flow_outbox_free.
 */
struct flow_outbox *flow_outbox_new(const struct flow_outbox_options *options)
{
	struct flow_outbox *outbox = g_new0(struct flow_outbox, 1);

	outbox->options = *options;
	outbox->budget_bytes = options->bytes_per_s;
	outbox->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_peer);
	return outbox;
}

/* Frees the outbox and all unsent messages; NULL is allowed. */
void flow_outbox_free(struct flow_outbox *outbox)
{
	if (!outbox)
		return;
	g_hash_table_destroy(outbox->peers);
	g_free(outbox);
}

static struct peer *find_peer(const struct flow_outbox *outbox,
			      uint64_t node_id)
{
	return g_hash_table_lookup(outbox->peers, &node_id);
}

static struct peer *get_or_create_peer(struct flow_outbox *outbox,
				       uint64_t node_id)
{
	struct peer *peer = find_peer(outbox, node_id);

	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->node_id = node_id;
	g_queue_init(&peer->queue);
	g_hash_table_insert(outbox->peers, &peer->node_id, peer);
	return peer;
}

/* Returns the number of queued messages for all nodes, without open batches. */
uint32_t flow_outbox_queued_count(const struct flow_outbox *outbox)
{
	GHashTableIter iter;
	struct peer *peer;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, outbox->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		count += g_queue_get_length(&peer->queue);
	return count;
}

/* Returns whether the byte budget allows sending now. */
bool flow_outbox_has_budget(const struct flow_outbox *outbox)
{
	return outbox->budget_bytes > 0;
}

static void transmit(struct flow_outbox *outbox, uint64_t to_node_id,
		     const struct flow_message *message)
{
	uint32_t size_bytes = flow_message_size_bytes(message);

	outbox->budget_bytes -= size_bytes;
	outbox->sent_bytes += size_bytes;
	outbox->options.send(outbox->options.context, to_node_id, message);
}

static void close_batch(struct peer *peer, struct open_batch *batch)
{
	g_queue_push_tail(&peer->queue, batch->message);
	batch->message = NULL;
}

/*
 * Adds a flow to a node's open batch of the given kind, FLOW_MIRROR or
 * FLOW_HANDOVER. Returns false without adding it if the budget is used up or
 * the node's queue is full because it has not acknowledged enough messages.
 */
bool flow_outbox_add_entry(struct flow_outbox *outbox, uint64_t to_node_id,
			   enum flow_message_kind kind, uint64_t hash_low,
			   const struct target *target, int64_t now_ms)
{
	struct peer *peer = get_or_create_peer(outbox, to_node_id);
	struct open_batch *batch = &peer->open_batches[kind];

	if (!flow_outbox_has_budget(outbox) ||
	    g_queue_get_length(&peer->queue) >= QUEUED_MESSAGES_PER_PEER_MAX)
		return false;
	if (batch->message &&
	    flow_message_add_entry(batch->message, hash_low, target))
		return true;
	if (batch->message)
		close_batch(peer, batch);
	batch->message = g_new0(struct flow_message, 1);
	batch->message->kind = kind;
	batch->opened_ms = now_ms;
	return flow_message_add_entry(batch->message, hash_low, target);
}

/* Queues a copy of a message; it is retransmitted until acknowledged. */
void flow_outbox_enqueue(struct flow_outbox *outbox, uint64_t to_node_id,
			 const struct flow_message *message)
{
	struct peer *peer = get_or_create_peer(outbox, to_node_id);

	g_queue_push_tail(&peer->queue, g_memdup2(message, sizeof(*message)));
}

/*
 * Schedules an acknowledgement of a received message; one acknowledgement
 * covers several messages. If it is lost, the sender retransmits the message,
 * which schedules it again.
 */
void flow_outbox_schedule_ack(struct flow_outbox *outbox, uint64_t from_node_id,
			      uint32_t sequence, int64_t now_ms)
{
	struct peer *peer = get_or_create_peer(outbox, from_node_id);
	uint32_t newer_by = sequence - peer->last_received;

	if (!peer->is_ack_due)
		peer->ack_since_ms = now_ms;
	peer->is_ack_due = true;
	if (newer_by == 0)
		return;
	if ((int32_t)newer_by < 0) {
		uint32_t older_by = peer->last_received - sequence;

		if (older_by <= ACK_MASK_BITS)
			peer->received_mask |= 1U << (older_by - 1);
		return;
	}
	peer->received_mask =
		newer_by < ACK_MASK_BITS ? peer->received_mask << newer_by : 0;
	if (newer_by <= ACK_MASK_BITS && peer->last_received > 0)
		peer->received_mask |= 1U << (newer_by - 1);
	peer->last_received = sequence;
}

static void send_ack(struct flow_outbox *outbox, struct peer *peer,
		     int64_t now_ms)
{
	struct flow_message ack = {
		.kind = FLOW_ACK,
		.sequence = peer->last_received,
		.ack_mask = peer->received_mask,
	};

	if (!peer->is_ack_due || now_ms - peer->ack_since_ms < ACK_DELAY_MS)
		return;
	peer->is_ack_due = false;
	transmit(outbox, peer->node_id, &ack);
}

static bool is_acked(const struct flow_message *ack, uint32_t sequence)
{
	uint32_t older_by = ack->sequence - sequence;

	if (older_by == 0)
		return true;
	return older_by <= ACK_MASK_BITS &&
	       (ack->ack_mask & 1U << (older_by - 1)) != 0;
}

/* Handles an acknowledgement; unknown sequence numbers are ignored. */
void flow_outbox_handle_ack(struct flow_outbox *outbox, uint64_t from_node_id,
			    const struct flow_message *ack)
{
	struct peer *peer = find_peer(outbox, from_node_id);

	for (uint32_t i = 0; peer && i < WINDOW_SIZE; i++) {
		struct flow_message *message = peer->window[i].message;

		if (!message || !is_acked(ack, message->sequence))
			continue;
		peer->window[i].message = NULL;
		outbox->options.on_message_acked(outbox->options.acked_context,
						 from_node_id, message);
		g_free(message);
	}
}

/* Returns whether a node has no open, queued or unacknowledged messages. */
bool flow_outbox_is_idle(const struct flow_outbox *outbox, uint64_t to_node_id)
{
	const struct peer *peer = find_peer(outbox, to_node_id);

	if (!peer)
		return true;
	for (uint32_t i = 0; i < BATCH_KIND_COUNT; i++) {
		if (peer->open_batches[i].message)
			return false;
	}
	for (uint32_t i = 0; i < WINDOW_SIZE; i++) {
		if (peer->window[i].message)
			return false;
	}
	return g_queue_is_empty((GQueue *)&peer->queue);
}

/* Drops the queued messages and all other state of an unreachable node. */
void flow_outbox_drop_peer(struct flow_outbox *outbox, uint64_t node_id)
{
	g_hash_table_remove(outbox->peers, &node_id);
}

static void refill_budget(struct flow_outbox *outbox, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - outbox->last_refill_ms;
	int64_t capacity_bytes = outbox->options.bytes_per_s;

	outbox->last_refill_ms = now_ms;
	if (elapsed_ms > MS_PER_S || elapsed_ms < 0)
		elapsed_ms = MS_PER_S;
	outbox->budget_bytes += capacity_bytes * elapsed_ms / MS_PER_S;
	outbox->budget_bytes = MIN(outbox->budget_bytes, capacity_bytes);
}

static void retransmit_unacked(struct flow_outbox *outbox, struct peer *peer,
			       int64_t now_ms)
{
	for (uint32_t i = 0; i < WINDOW_SIZE; i++) {
		struct sent_message *sent = &peer->window[i];

		if (!sent->message ||
		    now_ms - sent->sent_ms < sent->retransmit_timeout_ms ||
		    !flow_outbox_has_budget(outbox))
			continue;
		sent->sent_ms = now_ms;
		sent->retransmit_timeout_ms =
			MIN(2 * sent->retransmit_timeout_ms,
			    RETRANSMIT_TIMEOUT_MAX_MS);
		transmit(outbox, peer->node_id, sent->message);
	}
}

static void send_queue(struct flow_outbox *outbox, struct peer *peer,
		       int64_t now_ms)
{
	for (uint32_t i = 0; i < WINDOW_SIZE; i++) {
		struct sent_message *sent = &peer->window[i];

		if (sent->message)
			continue;
		if (g_queue_is_empty(&peer->queue) ||
		    !flow_outbox_has_budget(outbox))
			return;
		sent->message = g_queue_pop_head(&peer->queue);
		sent->message->sequence = ++peer->next_sequence;
		sent->sent_ms = now_ms;
		sent->retransmit_timeout_ms = RETRANSMIT_TIMEOUT_INITIAL_MS;
		transmit(outbox, peer->node_id, sent->message);
	}
}

static void close_expired_batches(struct peer *peer, int64_t now_ms)
{
	for (uint32_t i = 0; i < BATCH_KIND_COUNT; i++) {
		struct open_batch *batch = &peer->open_batches[i];

		if (batch->message &&
		    now_ms - batch->opened_ms >= batch_max_ages_ms[i])
			close_batch(peer, batch);
	}
}

/* Sends all due messages; must be called about every 100 ms. */
void flow_outbox_tick(struct flow_outbox *outbox, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	refill_budget(outbox, now_ms);
	g_hash_table_iter_init(&iter, outbox->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		send_ack(outbox, peer, now_ms);
		close_expired_batches(peer, now_ms);
		retransmit_unacked(outbox, peer, now_ms);
		send_queue(outbox, peer, now_ms);
	}
}

/* Returns the number of bytes sent since start, as charged to the budget. */
uint64_t flow_outbox_sent_bytes(const struct flow_outbox *outbox)
{
	return outbox->sent_bytes;
}
