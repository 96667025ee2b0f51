#ifndef RELAY_SERVICE_INDEX_H
#define RELAY_SERVICE_INDEX_H

#include <core/relay_pool.h>

/* The targets of a service, and its struct relay_pool for each zone. */
struct relay_service_index {
	GPtrArray *targets;
	GPtrArray *pools;
};

struct relay_service_index *relay_service_index_new(void);
void relay_service_index_free(struct relay_service_index *index);
void relay_service_index_add_to_pool(struct relay_service_index *index,
				     struct relay_target *entry, uint64_t seed);
void relay_service_index_remove_from_pool(struct relay_service_index *index,
					  struct relay_target *entry);

#endif
