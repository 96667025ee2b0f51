#ifndef NODE_ROTATION_H
#define NODE_ROTATION_H

#include <fakes/fake_caller.h>
#include <task/task.h>

/*
 * The nodes that a zone's router forwards packets to, chosen by readiness
 * probes. Used by one task only.
 */
struct node_rotation;

struct node_rotation *
node_rotation_new(const struct fake_caller_options *options, struct task *task);
void node_rotation_free(struct node_rotation *rotation);
uint32_t node_rotation_pick(const struct node_rotation *rotation,
			    uint64_t flow_hash);

#endif
