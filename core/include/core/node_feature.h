#ifndef CORE_NODE_FEATURE_H
#define CORE_NODE_FEATURE_H

#include <stdint.h>

/*
 * Feature bits that a node announces. A feature is used only when every live
 * node announces its bit, so that old and new versions can run together.
 */
#define NODE_FEATURE_RULE_FORM_2 ((uint64_t)1 << 0)

/* The features that this version announces. */
#define NODE_FEATURES NODE_FEATURE_RULE_FORM_2

#endif
