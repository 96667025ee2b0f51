#include <core/roster_choice.h>

#include <glib.h>

/* A change of the nodes has to last before it becomes an epoch. */
#define STABLE_MS 5000

/* Without a majority of the members in sight a node waits much longer. */
#define MINORITY_MS 60000

/* wanted is what the view has asked for since wanted_ms. */
struct roster_choice {
	struct roster_epoch wanted;
	int64_t wanted_ms;
	bool has_wanted;
};

/* Makes a choice that has seen nothing; free it with roster_choice_free. */
struct roster_choice *roster_choice_new(void)
{
	return g_new0(struct roster_choice, 1);
}

/* Frees it; NULL is allowed. */
void roster_choice_free(struct roster_choice *choice)
{
	g_free(choice);
}

static bool is_member(const struct roster_epoch *epoch, uint64_t node_id)
{
	return roster_epoch_has(epoch, node_id);
}

static bool is_same(const struct roster_epoch *a, const struct roster_epoch *b)
{
	if (a->member_count != b->member_count)
		return false;
	for (uint32_t i = 0; i < a->member_count; i++) {
		if (a->members[i].node_id != b->members[i].node_id)
			return false;
	}
	return true;
}

/* A member stays while it is suspected or cut off; a new one must serve. */
static bool may_hold(const struct node *node, const struct roster *held)
{
	bool is_held = held->epoch_count > 0 &&
		       is_member(&held->epochs[0], node->node_id);

	return node->state == NODE_SERVING ||
	       (is_held &&
		(node->state == NODE_SUSPECT || node->state == NODE_CUT_OFF));
}

static void add(struct roster_epoch *wanted, const struct node *node)
{
	struct roster_member *member = &wanted->members[wanted->member_count++];

	member->node_id = node->node_id;
	member->zone_id = node->zone_id;
}

static uint32_t count_zone(const struct roster_epoch *wanted, uint32_t zone_id)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < wanted->member_count; i++)
		count += wanted->members[i].zone_id == zone_id ? 1 : 0;
	return count;
}

/* Picks a node of the zone that has the fewest members so far. */
static const struct node *pick(const struct roster_epoch *wanted,
			       const struct roster *held,
			       const struct node_view *view)
{
	const struct node *best = NULL;
	uint32_t best_count = UINT32_MAX;

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);
		uint32_t count = count_zone(wanted, node->zone_id);

		if (!may_hold(node, held) || is_member(wanted, node->node_id) ||
		    count >= best_count)
			continue;
		best = node;
		best_count = count;
	}
	return best;
}

/* Members that still can hold claims come first, then new nodes by zone. */
static struct roster_epoch choose(const struct roster *held,
				  const struct node_view *view)
{
	struct roster_epoch wanted = {.member_count = 0};
	const struct node *node;

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		node = node_view_at(view, i);
		if (held->epoch_count > 0 && may_hold(node, held) &&
		    is_member(&held->epochs[0], node->node_id))
			add(&wanted, node);
	}
	while (wanted.member_count < ROSTER_MEMBERS_MAX &&
	       (node = pick(&wanted, held, view)) != NULL)
		add(&wanted, node);
	return wanted;
}

static bool sees_majority(const struct roster *held,
			  const struct roster_epoch *wanted)
{
	uint32_t count = 0;

	if (held->epoch_count == 0)
		return true;
	for (uint32_t i = 0; i < wanted->member_count; i++)
		count += is_member(&held->epochs[0], wanted->members[i].node_id)
				 ? 1
				 : 0;
	return count >= roster_majority(held->epochs[0].member_count);
}

/*
 * Makes the roster that should follow the held one, which has epoch_count 0
 * where there is none. Returns false while nothing should be changed: the
 * members are the same, or the change has not lasted, or a partition may be
 * hiding most members.
 */
bool roster_choice_next(struct roster_choice *choice, struct roster *next,
			const struct roster *held, const struct node_view *view,
			int64_t now_ms)
{
	struct roster_epoch wanted = choose(held, view);
	int64_t wait_ms =
		sees_majority(held, &wanted) ? STABLE_MS : MINORITY_MS;

	if (!choice->has_wanted || !is_same(&choice->wanted, &wanted)) {
		choice->wanted = wanted;
		choice->wanted_ms = now_ms;
		choice->has_wanted = true;
	}
	if (now_ms - choice->wanted_ms < wait_ms)
		return false;
	return roster_next(next, held->epoch_count > 0 ? held : NULL,
			   wanted.members, wanted.member_count);
}
