#ifndef CORE_RELAY_DIRECTORY_H
#define CORE_RELAY_DIRECTORY_H

#include <core/relay_pool.h>
#include <core/relay_target_set.h>
#include <glib.h>

/*
 * All targets that this node knows, indexed by tag and by service. A target
 * that is leaving or was removed from the store is included until its flows
 * have ended. Pointers to targets stay valid until relay_directory_sweep, or
 * until relay_directory_put moves the target to another service.
 */
struct relay_directory;

struct relay_directory *relay_directory_new(void);
void relay_directory_set_seed(struct relay_directory *directory, uint64_t seed);
void relay_directory_free(struct relay_directory *directory);
enum target_state relay_directory_merge_state(struct relay_directory *directory,
					      const struct target *target);
bool relay_directory_put(struct relay_directory *directory,
			 const struct target *target, uint32_t warmup_ms,
			 int64_t now_ms);
void relay_directory_remove(struct relay_directory *directory,
			    uint64_t target_id, int64_t now_ms);
void relay_directory_remove_unlisted(struct relay_directory *directory,
				     const GArray *target_ids, int64_t now_ms);
struct relay_target *relay_directory_find(struct relay_directory *directory,
					  uint32_t tag);
const GPtrArray *
relay_directory_service_targets(struct relay_directory *directory,
				uint32_t service_id);
const GPtrArray *
relay_directory_service_pools(struct relay_directory *directory,
			      uint32_t service_id);
void relay_directory_add_open_flow(struct relay_directory *directory,
				   struct relay_target *entry);
struct relay_target_set *
relay_directory_used_targets(struct relay_directory *directory);
struct relay_target_set *
relay_directory_warming_targets(struct relay_directory *directory);
void relay_directory_sweep(struct relay_directory *directory, int64_t now_ms);
uint32_t relay_directory_count(const struct relay_directory *directory);
void relay_directory_for_each(struct relay_directory *directory, void *context,
			      void (*visit)(void *context,
					    struct relay_target *entry));
void relay_directory_for_each_pool(
	struct relay_directory *directory, void *context,
	void (*visit)(void *context, uint32_t service_id,
		      const struct relay_pool *pool));

#endif
