#include "soak_store.h"

#include "soak_net.h"

#define REFUSAL_STATUS 503
/* What a slow store took on the users' bench. */
#define SLOW_MS 400
/* More answers than nodes write in the time that the fault lasts. */
#define LOST_ANSWER_COUNT 1000

struct soak_store {
	struct fake_kv *kv;
	struct judge_task *judge;
	uint32_t depths[SOAK_STORE_FAULT_COUNT];
};

/* Starts the store. The caller frees it. Fails with TASK_ERROR. */
struct soak_store *soak_store_new(struct judge_task *judge, GError **error)
{
	struct soak_store *store = g_new0(struct soak_store, 1);
	struct fake_kv_options options = {
		.listen = soak_net_endpoint(SOAK_NET_STORE, 0),
	};

	store->judge = judge;
	store->kv = fake_kv_new(&options, error);
	if (store->kv)
		return store;
	soak_store_free(store);
	return NULL;
}

/* Stops the store; NULL is allowed. */
void soak_store_free(struct soak_store *store)
{
	if (!store)
		return;
	fake_kv_free(store->kv);
	g_free(store);
}

/* Returns the stand-in; it belongs to the store. */
struct fake_kv *soak_store_kv(const struct soak_store *store)
{
	return store->kv;
}

/* Tells the judge that the store is, or is no longer, as it should be. */
void soak_store_disturb(struct soak_store *store, bool is_begin, int64_t now_ms)
{
	struct soak_fact fact = {
		.kind = is_begin ? SOAK_STORE_DISTURBED : SOAK_STORE_CALM,
		.at_ms = now_ms,
	};

	judge_task_fact(store->judge, &fact);
}

/* Begins or ends a fault. */
void soak_store_fault(struct soak_store *store, enum soak_store_fault fault,
		      bool is_begin, int64_t now_ms)
{
	uint32_t *depths = store->depths;
	struct fake_kv_fault shown;

	depths[fault] += is_begin ? 1 : -1;
	shown = (struct fake_kv_fault){
		.is_down = depths[SOAK_STORE_FAULT_DOWN] > 0,
		.refusal_status = depths[SOAK_STORE_FAULT_REFUSES] > 0
					  ? REFUSAL_STATUS
					  : 0,
		.delay_ms = depths[SOAK_STORE_FAULT_SLOW] > 0 ? SLOW_MS : 0,
		.lost_response_count =
			depths[SOAK_STORE_FAULT_LOSES_ANSWERS] > 0
				? LOST_ANSWER_COUNT
				: 0,
		.is_watch_stalled = depths[SOAK_STORE_FAULT_STALLS_WATCHES] > 0,
	};
	fake_kv_set_fault(store->kv, &shown);
	soak_store_disturb(store, is_begin, now_ms);
}
