#ifndef CORE_NODE_FEATURE_H
#define CORE_NODE_FEATURE_H

#include <stdint.h>

/*
 * What a node can do beyond the first version. A feature is used only when
 * every live node announces its bit, so old and new nodes can run together.
 */
#define NODE_FEATURE_RULE_FORM_2 ((uint64_t)1 << 0)

/* All that this version announces. */
#define NODE_FEATURES NODE_FEATURE_RULE_FORM_2

#endif
