#ifndef CORE_RULES_REPLICA_H
#define CORE_RULES_REPLICA_H

#include <core/rule_set.h>
#include <core/rules_document.h>

/*
 * The configuration as one node holds it, and the rules in force. It only
 * ever grows newer: a line gives way to a newer version of itself and to
 * nothing else, whatever the store says later.
 */
struct rules_replica;

struct rules_replica *rules_replica_new(void);
void rules_replica_free(struct rules_replica *replica);
uint32_t rules_replica_join(struct rules_replica *replica,
			    const struct rules_document *document);
bool rules_replica_put(struct rules_replica *replica, struct rules_line *line);
bool rules_replica_settle(struct rules_replica *replica,
			  uint64_t common_features);
const struct rules_document *
rules_replica_document(const struct rules_replica *replica);
const struct rule_set *rules_replica_rules(const struct rules_replica *replica);
uint32_t rules_replica_held_count(const struct rules_replica *replica);
const char *rules_replica_held_name(const struct rules_replica *replica,
				    uint32_t index);

#endif
