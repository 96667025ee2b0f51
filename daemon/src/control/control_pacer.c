#include "control_pacer.h"

#include <core/token_bucket.h>
#include <glib.h>
#include <wire/rpc_codec.h>

/* A burst of changes may run ahead of the rate by this many seconds. */
#define BURST_S 4

/* Whole rule sets are rare and must not take seconds from everything else. */
#define BULK_RATE_BYTES_PER_S (1024 * 1024)
#define BULK_BURST_BYTES (2 * 1024 * 1024)

struct control_pacer {
	GQueue queues[CONTROL_FAMILY_COUNT];
	struct token_bucket budget;
	struct token_bucket bulk_budget;
};

/* Makes an empty pacer; the caller frees it with control_pacer_free. */
struct control_pacer *control_pacer_new(uint32_t rate_bytes_per_s,
					int64_t now_ms)
{
	struct control_pacer *pacer = g_new0(struct control_pacer, 1);

	pacer->budget = token_bucket_full(rate_bytes_per_s,
					  BURST_S * rate_bytes_per_s, now_ms);
	pacer->bulk_budget = token_bucket_full(BULK_RATE_BYTES_PER_S,
					       BULK_BURST_BYTES, now_ms);
	return pacer;
}

/* Frees the pacer and what still waits; NULL is allowed. */
void control_pacer_free(struct control_pacer *pacer)
{
	if (!pacer)
		return;
	for (uint32_t i = 0; i < CONTROL_FAMILY_COUNT; i++)
		g_queue_clear_full(&pacer->queues[i],
				   (GDestroyNotify)control_parcel_free);
	g_free(pacer);
}

/*
 * Takes a parcel in. Returns false, and leaves the parcel to the caller, when
 * the family's queue is full.
 */
bool control_pacer_add(struct control_pacer *pacer, enum control_family family,
		       struct control_parcel *parcel)
{
	GQueue *queue = &pacer->queues[family];

	if (g_queue_get_length(queue) >=
	    control_families[family].queue_capacity)
		return false;
	g_queue_push_tail(queue, parcel);
	return true;
}

static struct token_bucket *budget_of(struct control_pacer *pacer,
				      const struct control_parcel *parcel)
{
	if (control_parcel_bytes(parcel) > RPC_DATAGRAM_BYTES_MAX)
		return &pacer->bulk_budget;
	return &pacer->budget;
}

static uint32_t family_wait_ms(struct control_pacer *pacer,
			       enum control_family family, int64_t now_ms)
{
	const struct control_parcel *parcel =
		g_queue_peek_head(&pacer->queues[family]);

	if (!parcel)
		return CONTROL_PACER_IDLE;
	if (!control_families[family].is_waiting)
		return 0;
	return token_bucket_wait_ms(budget_of(pacer, parcel), now_ms);
}

/*
 * Hands out the next parcel that may go now, the most urgent family first, or
 * NULL. The caller owns it.
 */
struct control_parcel *control_pacer_take(struct control_pacer *pacer,
					  enum control_family *family,
					  int64_t now_ms)
{
	for (uint32_t i = 0; i < CONTROL_FAMILY_COUNT; i++) {
		struct control_parcel *parcel;

		*family = (enum control_family)i;
		if (family_wait_ms(pacer, *family, now_ms) > 0)
			continue;
		parcel = g_queue_pop_head(&pacer->queues[i]);
		if (control_families[i].is_charged)
			token_bucket_charge(budget_of(pacer, parcel),
					    control_parcel_bytes(parcel),
					    now_ms);
		return parcel;
	}
	return NULL;
}

/*
 * Returns how long until control_pacer_take has something to hand out, or
 * CONTROL_PACER_IDLE when nothing waits.
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
