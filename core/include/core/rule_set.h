#ifndef CORE_RULE_SET_H
#define CORE_RULE_SET_H

#include <core/rule.h>

/* A set of rules, indexed by service address and by service id. */
struct rule_set;

struct rule_set *rule_set_new(uint64_t revision);
void rule_set_free(struct rule_set *set);
struct rule_set *rule_set_copy(const struct rule_set *set);
uint64_t rule_set_revision(const struct rule_set *set);
void rule_set_add(struct rule_set *set, struct rule *rule);
const struct rule *rule_set_by_address(const struct rule_set *set,
				       const struct endpoint *address);
const struct rule *rule_set_by_id(const struct rule_set *set,
				  uint32_t service_id);
uint32_t rule_set_count(const struct rule_set *set);
const struct rule *rule_set_at(const struct rule_set *set, uint32_t index);

#endif
