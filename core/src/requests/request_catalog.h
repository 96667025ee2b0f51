#ifndef CORE_REQUEST_CATALOG_H
#define CORE_REQUEST_CATALOG_H

#include "request_service.h"
#include <core/rule_set.h>

/*
 * The HTTP services of the current rules with their targets and pools. Services
 * and pools are recreated for each set of rules; the statistics of endpoints
 * that stay listed are kept.
 */
struct request_catalog;

struct request_catalog_options {
	uint32_t queue_limit;
	uint32_t node_count;
};

struct request_catalog *
request_catalog_new(const struct request_catalog_options *options);
void request_catalog_free(struct request_catalog *catalog);
void request_catalog_set_rules(struct request_catalog *catalog,
			       const struct rule_set *rules, int64_t now_ms);
void request_catalog_set_node_count(struct request_catalog *catalog,
				    uint32_t node_count);
void request_catalog_set_state(struct request_catalog *catalog,
			       uint64_t target_id, enum target_state state,
			       int64_t now_ms);
struct request_service *
request_catalog_service(const struct request_catalog *catalog,
			uint32_t service_id);
uint32_t request_catalog_pool_count(const struct request_catalog *catalog);
struct request_pool *
request_catalog_pool_at(const struct request_catalog *catalog, uint32_t index);

#endif
