#ifndef FAKE_KV_ERA_H
#define FAKE_KV_ERA_H

#include "fake_kv_store.h"

#include <event2/http.h>

void fake_kv_era_add(const struct fake_kv_store *store,
		     struct evhttp_request *request);

#endif
