#ifndef CORE_TARGET_RANK_H
#define CORE_TARGET_RANK_H

#include <core/flow_key.h>
#include <core/target.h>

uint64_t target_rank_cost(uint64_t target_id, uint32_t weight,
			  uint64_t hash_low);
const struct target *target_rank_first(const struct target *targets,
				       uint32_t target_count,
				       struct hash128 flow_hash);

#endif
