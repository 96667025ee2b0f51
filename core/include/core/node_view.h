#ifndef CORE_NODE_VIEW_H
#define CORE_NODE_VIEW_H

#include <core/node.h>
#include <stdbool.h>

/*
 * An immutable snapshot of the nodes of a region as one node sees them, sorted
 * by id. The views of different nodes may differ, and decisions must tolerate
 * that.
 */
struct node_view;

struct node_view *node_view_new(uint64_t self_id, uint64_t version,
				const struct node *nodes, uint32_t node_count);
struct node_view *node_view_copy(const struct node_view *view);
void node_view_free(struct node_view *view);
uint64_t node_view_self_id(const struct node_view *view);
uint64_t node_view_version(const struct node_view *view);
uint32_t node_view_count(const struct node_view *view);
bool node_view_is_joining_alone(const struct node_view *view);
const struct node *node_view_at(const struct node_view *view, uint32_t index);
const struct node *node_view_find(const struct node_view *view,
				  uint64_t node_id);

#endif
