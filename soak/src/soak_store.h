#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "checker_task.h"

#include <fakes/fake_kv.h>

/* The fake store of a run, and its faults; several may be active at once. */
struct soak_store;

enum soak_store_fault {
	SOAK_STORE_FAULT_DOWN,
	SOAK_STORE_FAULT_REFUSES,
	SOAK_STORE_FAULT_SLOW,
	SOAK_STORE_FAULT_LOSES_RESPONSES,
	SOAK_STORE_FAULT_STALLS_WATCHES,
	SOAK_STORE_FAULT_COUNT,
};

struct soak_store *soak_store_new(struct checker_task *checker, GError **error);
void soak_store_free(struct soak_store *store);
struct fake_kv *soak_store_kv(const struct soak_store *store);
void soak_store_set_fault(struct soak_store *store, enum soak_store_fault fault,
			  bool is_begin, int64_t now_ms);
void soak_store_post_disturbance(struct soak_store *store, bool is_begin,
				 int64_t now_ms);

#endif
