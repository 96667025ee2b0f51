#include "control_pacer.h"

#include <core/token_bucket.h>
#include <glib.h>
#include <wire/rpc_codec.h>

/* A burst of changes may use this many seconds' worth of the rate at once. */
#define BURST_S 4

/*
 * Messages too large for a datagram, such as complete rule sets, are rare. They
 * have a separate budget, because they would delay all other messages by
 * seconds if they used the common one.
 */
#define BULK_RATE_BYTES_PER_S (1024 * 1024)
#define BULK_BURST_BYTES (2 * 1024 * 1024)

struct control_pacer {
	GQueue queues[CONTROL_FAMILY_COUNT];
	struct token_bucket budget;
	struct token_bucket bulk_budget;
};

/* Creates a pacer with full budgets. Free it with control_pacer_free. */
struct control_pacer *control_pacer_new(uint32_t rate_bytes_per_s,
					int64_t now_ms)
{
	struct control_pacer *pacer = g_new0(struct control_pacer, 1);

	pacer->budget = token_bucket_initial(
		rate_bytes_per_s, BURST_S * rate_bytes_per_s, now_ms);
	pacer->bulk_budget = token_bucket_initial(BULK_RATE_BYTES_PER_S,
						  BULK_BURST_BYTES, now_ms);
	return pacer;
}

/* Frees the pacer and the messages in its queues; NULL is allowed. */
void control_pacer_free(struct control_pacer *pacer)
{
	if (!pacer)
		return;
	for (uint32_t i = 0; i < CONTROL_FAMILY_COUNT; i++)
		g_queue_clear_full(&pacer->queues[i],
				   (GDestroyNotify)outgoing_message_free);
	g_free(pacer);
}

/*
 * Queues a message and takes ownership of it. If the family's queue is full,
 * returns false and does not take ownership.
 */
bool control_pacer_add(struct control_pacer *pacer, enum control_family family,
		       struct outgoing_message *outgoing)
{
	GQueue *queue = &pacer->queues[family];

	if (g_queue_get_length(queue) >=
	    control_families[family].queue_capacity)
		return false;
	g_queue_push_tail(queue, outgoing);
	return true;
}

static struct token_bucket *budget_of(struct control_pacer *pacer,
				      const struct outgoing_message *outgoing)
{
	if (outgoing_message_wire_bytes(outgoing) > RPC_DATAGRAM_BYTES_MAX)
		return &pacer->bulk_budget;
	return &pacer->budget;
}

static uint32_t family_wait_ms(struct control_pacer *pacer,
			       enum control_family family, int64_t now_ms)
{
	const struct outgoing_message *outgoing =
		g_queue_peek_head(&pacer->queues[family]);

	if (!outgoing)
		return CONTROL_PACER_IDLE;
	if (!control_families[family].is_throttled)
		return 0;
	return token_bucket_wait_ms(budget_of(pacer, outgoing), now_ms);
}

/*
 * Dequeues the next message that may be sent now, from the family of highest
 * priority, or returns NULL. Free the message with outgoing_message_free.
 */
struct outgoing_message *control_pacer_take(struct control_pacer *pacer,
					    enum control_family *family,
					    int64_t now_ms)
{
	for (uint32_t i = 0; i < CONTROL_FAMILY_COUNT; i++) {
		struct outgoing_message *outgoing;

		*family = (enum control_family)i;
		if (family_wait_ms(pacer, *family, now_ms) > 0)
			continue;
		outgoing = g_queue_pop_head(&pacer->queues[i]);
		if (control_families[i].is_charged)
			token_bucket_charge(
				budget_of(pacer, outgoing),
				outgoing_message_wire_bytes(outgoing), now_ms);
		return outgoing;
	}
	return NULL;
}

/*
 * Returns the time until control_pacer_take can return a message, or
 * CONTROL_PACER_IDLE if all queues are empty.
 */
uint32_t control_pacer_wait_ms(struct control_pacer *pacer, int64_t now_ms)
{
	uint32_t wait_ms = CONTROL_PACER_IDLE;

	for (uint32_t i = 0; i < CONTROL_FAMILY_COUNT; i++)
		wait_ms = MIN(
			wait_ms,
			family_wait_ms(pacer, (enum control_family)i, now_ms));
	return wait_ms;
}
