#include "soak_store.h"

#include "soak_net.h"

#define REFUSAL_STATUS 503
/* Response delay of a slow store, as in the users' test environment. */
#define SLOW_MS 400
/* More than the responses to all writes of the nodes during the fault. */
#define LOST_RESPONSE_COUNT 1000

struct soak_store {
	struct fake_kv *kv;
	struct checker_task *checker;
	uint32_t depths[SOAK_STORE_FAULT_COUNT];
};

/* Starts the store. Free it with soak_store_free. Fails with TASK_ERROR. */
struct soak_store *soak_store_new(struct checker_task *checker, GError **error)
{
	struct soak_store *store = g_new0(struct soak_store, 1);
	struct fake_kv_options options = {
		.listen = soak_net_endpoint(SOAK_NET_STORE, 0),
	};

	store->checker = checker;
	store->kv = fake_kv_new(&options, error);
	if (store->kv)
		return store;
	soak_store_free(store);
	return NULL;
}

/* Stops and frees the store; NULL is allowed. */
void soak_store_free(struct soak_store *store)
{
	if (!store)
		return;
	fake_kv_free(store->kv);
	g_free(store);
}

/* Returns the fake key-value store, which belongs to the store. */
struct fake_kv *soak_store_kv(const struct soak_store *store)
{
	return store->kv;
}

/* Tells the checker that a disturbance of the store begins or ends. */
void soak_store_post_disturbance(struct soak_store *store, bool is_begin,
				 int64_t now_ms)
{
	struct soak_fleet_event fleet_event = {
		.kind = is_begin ? SOAK_FLEET_EVENT_STORE_DISTURBED
				 : SOAK_FLEET_EVENT_STORE_RESTORED,
		.at_ms = now_ms,
	};

	checker_task_post_fleet_event(store->checker, &fleet_event);
}

/* Begins or ends a fault; faults of the same kind nest. */
void soak_store_set_fault(struct soak_store *store, enum soak_store_fault fault,
			  bool is_begin, int64_t now_ms)
{
	uint32_t *depths = store->depths;
	struct fake_kv_fault kv_fault;

	depths[fault] += is_begin ? 1 : -1;
	kv_fault = (struct fake_kv_fault){
		.is_down = depths[SOAK_STORE_FAULT_DOWN] > 0,
		.refusal_status = depths[SOAK_STORE_FAULT_REFUSES] > 0
					  ? REFUSAL_STATUS
					  : 0,
		.delay_ms = depths[SOAK_STORE_FAULT_SLOW] > 0 ? SLOW_MS : 0,
		.lost_response_count =
			depths[SOAK_STORE_FAULT_LOSES_RESPONSES] > 0
				? LOST_RESPONSE_COUNT
				: 0,
		.is_watch_stalled = depths[SOAK_STORE_FAULT_STALLS_WATCHES] > 0,
	};
	fake_kv_set_fault(store->kv, &kv_fault);
	soak_store_post_disturbance(store, is_begin, now_ms);
}
