#include <core/node_view.h>

#include <glib.h>
#include <stdlib.h>

struct node_view {
	uint64_t self_id;
	uint64_t version;
	uint32_t node_count;
	struct node *nodes;
};

static int compare_nodes(const void *a, const void *b)
{
	const struct node *left = a;
	const struct node *right = b;

	if (left->node_id == right->node_id)
		return 0;
	return left->node_id < right->node_id ? -1 : 1;
}

/* Creates a view with copies of the nodes. Free it with node_view_free. */
struct node_view *node_view_new(uint64_t self_id, uint64_t version,
				const struct node *nodes, uint32_t node_count)
{
	struct node_view *view = g_new0(struct node_view, 1);

	view->self_id = self_id;
	view->version = version;
	view->node_count = node_count;
	view->nodes = g_memdup2(nodes, node_count * sizeof(*nodes));
	if (node_count > 0)
		qsort(view->nodes, node_count, sizeof(*nodes), compare_nodes);
	return view;
}

/* Returns a deep copy, so that each task can own its view. */
struct node_view *node_view_copy(const struct node_view *view)
{
	return node_view_new(view->self_id, view->version, view->nodes,
			     view->node_count);
}

/* Frees a view; NULL is allowed. */
void node_view_free(struct node_view *view)
{
	if (!view)
		return;
	g_free(view->nodes);
	g_free(view);
}

/* Returns the id of the node that this view belongs to. */
uint64_t node_view_self_id(const struct node_view *view)
{
	return view->self_id;
}

/* Returns the version, which increases with each change of this node's view. */
uint64_t node_view_version(const struct node_view *view)
{
	return view->version;
}

/* Returns the number of nodes in any state. */
uint32_t node_view_count(const struct node_view *view)
{
	return view->node_count;
}

/*
 * Returns whether this node has just started and knows no other node yet. The
 * records of flows may then be on nodes that it will learn of within
 * milliseconds.
 */
bool node_view_is_joining_alone(const struct node_view *view)
{
	return node_view_count(view) == 1 &&
	       node_view_at(view, 0)->state == NODE_JOINING;
}

/* Returns the node at an index below node_view_count. */
const struct node *node_view_at(const struct node_view *view, uint32_t index)
{
	return &view->nodes[index];
}

/* Returns the node with this id, or NULL. */
const struct node *node_view_find(const struct node_view *view,
				  uint64_t node_id)
{
	struct node key = {.node_id = node_id};

	if (view->node_count == 0)
		return NULL;
	return bsearch(&key, view->nodes, view->node_count, sizeof(key),
		       compare_nodes);
}
