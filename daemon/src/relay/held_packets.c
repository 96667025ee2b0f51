#include "held_packets.h"

#include <glib.h>

/* Exceeds what a node receives while it starts; it holds packets only then. */
#define PACKET_COUNT_MAX 512

struct held_packet {
	GBytes *bytes;
	int64_t arrived_ms;
};

/* queue has struct held_packet. */
struct held_packets {
	GQueue queue;
};

/* Creates an empty queue. Free it with held_packets_free. */
struct held_packets *held_packets_new(void)
{
	struct held_packets *held = g_new0(struct held_packets, 1);

	g_queue_init(&held->queue);
	return held;
}

static void free_packet(struct held_packet *packet)
{
	g_bytes_unref(packet->bytes);
	g_free(packet);
}

/* Frees the queue; NULL is allowed. */
void held_packets_free(struct held_packets *held)
{
	if (!held)
		return;
	g_queue_clear_full(&held->queue, (GDestroyNotify)free_packet);
	g_free(held);
}

/* Appends a copy of the packet; returns false if the queue is full. */
bool held_packets_add(struct held_packets *held, const uint8_t *bytes,
		      uint32_t length_bytes, int64_t arrived_ms)
{
	struct held_packet *packet;

	if (g_queue_get_length(&held->queue) >= PACKET_COUNT_MAX)
		return false;
	packet = g_new0(struct held_packet, 1);
	packet->bytes = g_bytes_new(bytes, length_bytes);
	packet->arrived_ms = arrived_ms;
	g_queue_push_tail(&held->queue, packet);
	return true;
}

/* Returns whether the queue is empty. */
bool held_packets_is_empty(const struct held_packets *held)
{
	return held->queue.length == 0;
}

/*
 * Removes each packet from the queue and passes it to handle_packet. Packets
 * that handle_packet adds meanwhile stay in the queue.
 */
void held_packets_release(struct held_packets *held, void *context,
			  void (*handle_packet)(void *context,
						const uint8_t *bytes,
						uint32_t length_bytes,
						int64_t arrived_ms))
{
	guint count = g_queue_get_length(&held->queue);

	for (guint i = 0; i < count; i++) {
		struct held_packet *packet = g_queue_pop_head(&held->queue);
		gsize length_bytes;
		const uint8_t *bytes =
			g_bytes_get_data(packet->bytes, &length_bytes);

		handle_packet(context, bytes, (uint32_t)length_bytes,
			      packet->arrived_ms);
		free_packet(packet);
	}
}
