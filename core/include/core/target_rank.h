#ifndef CORE_TARGET_RANK_H
#define CORE_TARGET_RANK_H

#include <core/flow_key.h>
#include <core/target.h>

const struct target *target_rank_first(const struct target *targets,
				       uint32_t target_count,
				       struct flow_print print);

#endif
