#include "held_packets.h"

#include <glib.h>

/* Exceeds what a node receives while it starts; it holds packets only then. */
#define PACKET_COUNT_MAX 512

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

/* Frees the queue; NULL is allowed. */
void held_packets_free(struct held_packets *held)
{
	if (!held)
		return;
	g_queue_clear_full(&held->queue, (GDestroyNotify)g_bytes_unref);
	g_free(held);
}

/* Appends a copy of the packet; returns false if the queue is full. */
bool held_packets_add(struct held_packets *held, const uint8_t *bytes,
		      uint32_t length_bytes)
{
	if (g_queue_get_length(&held->queue) >= PACKET_COUNT_MAX)
		return false;
	g_queue_push_tail(&held->queue, g_bytes_new(bytes, length_bytes));
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
						uint32_t length_bytes))
{
	guint count = g_queue_get_length(&held->queue);

	for (guint i = 0; i < count; i++) {
		GBytes *packet = g_queue_pop_head(&held->queue);
		gsize length_bytes;
		const uint8_t *bytes = g_bytes_get_data(packet, &length_bytes);

		handle_packet(context, bytes, (uint32_t)length_bytes);
		g_bytes_unref(packet);
	}
}
