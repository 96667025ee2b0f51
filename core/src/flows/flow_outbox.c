#include <core/flow_outbox.h>

#include <glib.h>

#define WINDOW_COUNT 8
#define RESEND_FIRST_MS 1500
#define ACK_DELAY_MS 500
#define ACK_MASK_BITS 32
#define RESEND_MAX_MS 8000
#define QUEUE_MAX 4
#define MS_PER_S 1000
#define BATCH_KIND_COUNT 2

/* How long a batch waits for more flows before it is sent as it is. */
static const uint32_t batch_ages_ms[BATCH_KIND_COUNT] = {
	[FLOW_MIRROR] = 2000,
	[FLOW_HANDOVER] = 200,
};

/* A message that has been sent and not yet acknowledged. */
struct sent_message {
	struct flow_message *message;
	int64_t sent_ms;
	/* Doubles each time, so that a silent node costs little. */
	int64_t resend_ms;
};

/* A batch that still takes flows. */
struct open_batch {
	struct flow_message *message;
	int64_t opened_ms;
};

/* What goes to one node. */
struct lane {
	uint64_t node_id;
	uint32_t next_sequence;
	struct open_batch open[BATCH_KIND_COUNT];
	GQueue queue;
	struct sent_message window[WINDOW_COUNT];
	/* What came from the node: the last number, and which before it. */
	uint32_t last_received;
	uint32_t received_mask;
	bool is_ack_due;
	int64_t ack_since_ms;
};

struct flow_outbox {
	struct flow_outbox_options options;
	GHashTable *lanes;
	int64_t budget_bytes;
	int64_t refilled_ms;
	uint64_t sent_bytes;
};

static void free_lane(gpointer data)
{
	struct lane *lane = data;

	for (uint32_t i = 0; i < BATCH_KIND_COUNT; i++)
		g_free(lane->open[i].message);
	for (uint32_t i = 0; i < WINDOW_COUNT; i++)
		g_free(lane->window[i].message);
	g_queue_clear_full(&lane->queue, g_free);
	g_free(lane);
}

/* Makes an outbox with a second's budget; freed with flow_outbox_free. */
struct flow_outbox *flow_outbox_new(const struct flow_outbox_options *options)
{
	struct flow_outbox *outbox = g_new0(struct flow_outbox, 1);

	outbox->options = *options;
	outbox->budget_bytes = options->bytes_per_s;
	outbox->lanes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_lane);
	return outbox;
}

/* Frees the outbox and what it has not sent; NULL is allowed. */
void flow_outbox_free(struct flow_outbox *outbox)
{
	if (!outbox)
		return;
	g_hash_table_destroy(outbox->lanes);
	g_free(outbox);
}

static struct lane *find_lane(const struct flow_outbox *outbox,
			      uint64_t node_id)
{
	return g_hash_table_lookup(outbox->lanes, &node_id);
}

static struct lane *need_lane(struct flow_outbox *outbox, uint64_t node_id)
{
	struct lane *lane = find_lane(outbox, node_id);

	if (lane)
		return lane;
	lane = g_new0(struct lane, 1);
	lane->node_id = node_id;
	g_queue_init(&lane->queue);
	g_hash_table_insert(outbox->lanes, &lane->node_id, lane);
	return lane;
}

/* Returns how many closed messages wait for all nodes together. */
uint32_t flow_outbox_queued_count(const struct flow_outbox *outbox)
{
	GHashTableIter iter;
	struct lane *lane;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, outbox->lanes);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lane))
		count += g_queue_get_length(&lane->queue);
	return count;
}

/* Tells whether bytes are left to send now. */
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

static void close_batch(struct lane *lane, struct open_batch *batch)
{
	g_queue_push_tail(&lane->queue, batch->message);
	batch->message = NULL;
}

/*
 * Adds a flow to the batch of a kind, FLOW_MIRROR or FLOW_HANDOVER, for a
 * node. Returns false, and takes nothing, when the budget is spent or the
 * node has not yet acknowledged enough of what it was sent.
 */
bool flow_outbox_add(struct flow_outbox *outbox, uint64_t to_node_id,
		     enum flow_message_kind kind, uint64_t print_low,
		     const struct target *target, int64_t now_ms)
{
	struct lane *lane = need_lane(outbox, to_node_id);
	struct open_batch *batch = &lane->open[kind];

	if (!flow_outbox_has_budget(outbox) ||
	    g_queue_get_length(&lane->queue) >= QUEUE_MAX)
		return false;
	if (batch->message &&
	    flow_message_add(batch->message, print_low, target))
		return true;
	if (batch->message)
		close_batch(lane, batch);
	batch->message = g_new0(struct flow_message, 1);
	batch->message->kind = kind;
	batch->opened_ms = now_ms;
	return flow_message_add(batch->message, print_low, target);
}

/* Queues a copy of a message, to be sent until it is acknowledged. */
void flow_outbox_post(struct flow_outbox *outbox, uint64_t to_node_id,
		      const struct flow_message *message)
{
	struct lane *lane = need_lane(outbox, to_node_id);

	g_queue_push_tail(&lane->queue, g_memdup2(message, sizeof(*message)));
}

/*
 * Notes that a message was taken, to be acknowledged together with others. A
 * lost acknowledgement is asked for by sending the message again.
 */
void flow_outbox_note_taken(struct flow_outbox *outbox, uint64_t from_node_id,
			    uint32_t sequence, int64_t now_ms)
{
	struct lane *lane = need_lane(outbox, from_node_id);
	uint32_t newer = sequence - lane->last_received;

	if (!lane->is_ack_due)
		lane->ack_since_ms = now_ms;
	lane->is_ack_due = true;
	if (newer == 0)
		return;
	if ((int32_t)newer < 0) {
		uint32_t older = lane->last_received - sequence;

		if (older <= ACK_MASK_BITS)
			lane->received_mask |= 1U << (older - 1);
		return;
	}
	lane->received_mask =
		newer < ACK_MASK_BITS ? lane->received_mask << newer : 0;
	if (newer <= ACK_MASK_BITS && lane->last_received > 0)
		lane->received_mask |= 1U << (newer - 1);
	lane->last_received = sequence;
}

static void send_ack(struct flow_outbox *outbox, struct lane *lane,
		     int64_t now_ms)
{
	struct flow_message ack = {
		.kind = FLOW_ACK,
		.sequence = lane->last_received,
		.ack_mask = lane->received_mask,
	};

	if (!lane->is_ack_due || now_ms - lane->ack_since_ms < ACK_DELAY_MS)
		return;
	lane->is_ack_due = false;
	transmit(outbox, lane->node_id, &ack);
}

static bool is_acked(const struct flow_message *ack, uint32_t sequence)
{
	uint32_t older = ack->sequence - sequence;

	if (older == 0)
		return true;
	return older <= ACK_MASK_BITS &&
	       (ack->ack_mask & 1U << (older - 1)) != 0;
}

/* Takes an acknowledgement; numbers that are not known are ignored. */
void flow_outbox_take_ack(struct flow_outbox *outbox, uint64_t from_node_id,
			  const struct flow_message *ack)
{
	struct lane *lane = find_lane(outbox, from_node_id);

	for (uint32_t i = 0; lane && i < WINDOW_COUNT; i++) {
		struct flow_message *message = lane->window[i].message;

		if (!message || !is_acked(ack, message->sequence))
			continue;
		lane->window[i].message = NULL;
		outbox->options.acked(outbox->options.ack_context, from_node_id,
				      message);
		g_free(message);
	}
}

/* Tells whether nothing for a node is waiting or unacknowledged. */
bool flow_outbox_is_idle(const struct flow_outbox *outbox, uint64_t to_node_id)
{
	const struct lane *lane = find_lane(outbox, to_node_id);

	if (!lane)
		return true;
	for (uint32_t i = 0; i < BATCH_KIND_COUNT; i++) {
		if (lane->open[i].message)
			return false;
	}
	for (uint32_t i = 0; i < WINDOW_COUNT; i++) {
		if (lane->window[i].message)
			return false;
	}
	return g_queue_is_empty((GQueue *)&lane->queue);
}

/* Drops everything for a node that is gone. */
void flow_outbox_forget(struct flow_outbox *outbox, uint64_t node_id)
{
	g_hash_table_remove(outbox->lanes, &node_id);
}

static void refill(struct flow_outbox *outbox, int64_t now_ms)
{
	int64_t passed_ms = now_ms - outbox->refilled_ms;
	int64_t most = outbox->options.bytes_per_s;

	outbox->refilled_ms = now_ms;
	if (passed_ms > MS_PER_S || passed_ms < 0)
		passed_ms = MS_PER_S;
	outbox->budget_bytes += most * passed_ms / MS_PER_S;
	outbox->budget_bytes = MIN(outbox->budget_bytes, most);
}

static void resend(struct flow_outbox *outbox, struct lane *lane,
		   int64_t now_ms)
{
	for (uint32_t i = 0; i < WINDOW_COUNT; i++) {
		struct sent_message *sent = &lane->window[i];

		if (!sent->message ||
		    now_ms - sent->sent_ms < sent->resend_ms ||
		    !flow_outbox_has_budget(outbox))
			continue;
		sent->sent_ms = now_ms;
		sent->resend_ms = MIN(2 * sent->resend_ms, RESEND_MAX_MS);
		transmit(outbox, lane->node_id, sent->message);
	}
}

static void send_queue(struct flow_outbox *outbox, struct lane *lane,
		       int64_t now_ms)
{
	for (uint32_t i = 0; i < WINDOW_COUNT; i++) {
		struct sent_message *sent = &lane->window[i];

		if (sent->message)
			continue;
		if (g_queue_is_empty(&lane->queue) ||
		    !flow_outbox_has_budget(outbox))
			return;
		sent->message = g_queue_pop_head(&lane->queue);
		sent->message->sequence = ++lane->next_sequence;
		sent->sent_ms = now_ms;
		sent->resend_ms = RESEND_FIRST_MS;
		transmit(outbox, lane->node_id, sent->message);
	}
}

static void close_old(struct lane *lane, int64_t now_ms)
{
	for (uint32_t i = 0; i < BATCH_KIND_COUNT; i++) {
		struct open_batch *batch = &lane->open[i];

		if (batch->message &&
		    now_ms - batch->opened_ms >= batch_ages_ms[i])
			close_batch(lane, batch);
	}
}

/* Sends what is due; call it several times a second. */
void flow_outbox_tick(struct flow_outbox *outbox, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	refill(outbox, now_ms);
	g_hash_table_iter_init(&iter, outbox->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lane *lane = value;

		send_ack(outbox, lane, now_ms);
		close_old(lane, now_ms);
		resend(outbox, lane, now_ms);
		send_queue(outbox, lane, now_ms);
	}
}

/* Returns the bytes sent since the start, as the budget counts them. */
uint64_t flow_outbox_sent_bytes(const struct flow_outbox *outbox)
{
	return outbox->sent_bytes;
}
