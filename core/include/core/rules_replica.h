#ifndef CORE_RULES_REPLICA_H
#define CORE_RULES_REPLICA_H

#include <core/rule_set.h>
#include <core/rules_document.h>

/*
 * One node's replica of the configuration, and the rules in force on the node.
 * A line is replaced only by one with the same name and a higher generation
 * (see rules_line_is_newer), so the replica never goes back to an older state,
 * even if the store does. A line is held back (not put in force) until all live
 * nodes have supported its syntax version at the same time, and while newer
 * rules have all of its addresses.
 */
struct rules_replica;

struct rules_replica *rules_replica_new(void);
void rules_replica_free(struct rules_replica *replica);
uint32_t rules_replica_join(struct rules_replica *replica,
			    const struct rules_document *document);
bool rules_replica_put(struct rules_replica *replica, struct rules_line *line);
bool rules_replica_rebuild(struct rules_replica *replica,
			   uint64_t common_features);
const struct rules_document *
rules_replica_document(const struct rules_replica *replica);
const struct rule_set *rules_replica_rules(const struct rules_replica *replica);
uint32_t rules_replica_held_line_count(const struct rules_replica *replica);
const char *rules_replica_held_name(const struct rules_replica *replica,
				    uint32_t index);

#endif
