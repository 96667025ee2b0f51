#include <core/roster_planner.h>
#include <fakes/test_main.h>
#include <glib.h>

#define NODE_COUNT_MAX 40
#define STEP_COUNT_MAX 4

/*
 * A node view at now_ms with node_count nodes, of which the first dead_count
 * are dead, and the expected epoch and member count of the roster.
 */
struct view_step {
	int64_t now_ms;
	uint32_t node_count;
	uint32_t dead_count;
	uint64_t epoch;
	uint32_t member_count;
};

static const struct {
	const char *name;
	struct view_step steps[STEP_COUNT_MAX];
} rows[] = {
	{"first-roster-waits-for-a-steady-view",
	 {{0, 7, 0, 0, 0}, {4999, 7, 0, 0, 0}, {5000, 7, 0, 1, 7}}},
	{"flapping-node-changes-nothing",
	 {{0, 7, 0, 0, 0},
	  {5000, 7, 0, 1, 7},
	  {6000, 7, 1, 1, 7},
	  {12000, 7, 0, 1, 7}}},
	{"dead-node-leaves",
	 {{0, 7, 0, 0, 0},
	  {5000, 7, 0, 1, 7},
	  {6000, 7, 1, 1, 7},
	  {11000, 7, 1, 2, 6}}},
	{"minority-side-changes-nothing",
	 {{0, 7, 0, 0, 0},
	  {5000, 7, 0, 1, 7},
	  {6000, 7, 4, 1, 7},
	  {64000, 7, 4, 1, 7}}},
	{"fleet-replaced-as-a-whole",
	 {{0, 7, 0, 0, 0},
	  {5000, 7, 0, 1, 7},
	  {6000, 14, 7, 1, 7},
	  {66000, 14, 7, 2, 7}}},
	{"many-nodes-fill-the-roster",
	 {{0, 40, 0, 0, 0}, {5000, 40, 0, 1, ROSTER_MEMBERS_MAX}}},
};

static struct node_view *view_of(const struct view_step *step)
{
	struct node *nodes = g_new0(struct node, NODE_COUNT_MAX);
	struct node_view *view;

	for (uint32_t i = 0; i < step->node_count; i++) {
		nodes[i].node_id = i + 1;
		nodes[i].zone_id = 1 + i % 4;
		nodes[i].state =
			i < step->dead_count ? NODE_DEAD : NODE_SERVING;
	}
	view = node_view_new(NODE_COUNT_MAX, 1, nodes, step->node_count);
	g_free(nodes);
	return view;
}

START_TEST(test_planner)
{
	struct roster_planner *planner = roster_planner_new();
	struct roster current = {.epoch = 0};

	test_row("roster_choice", rows[_i].name);
	for (int i = 0; i < STEP_COUNT_MAX && rows[_i].steps[i].node_count;
	     i++) {
		const struct view_step *step = &rows[_i].steps[i];
		struct node_view *view = view_of(step);
		struct roster next;

		if (roster_planner_next(planner, &next, &current, view,
					step->now_ms))
			current = next;
		ck_assert_uint_eq(current.epoch, step->epoch);
		ck_assert_uint_eq(current.epochs[0].member_count,
				  step->member_count);
		node_view_free(view);
	}
	roster_planner_free(planner);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("roster_choice");
	TCase *tcase = tcase_create("choice");

	tcase_add_loop_test(tcase, test_planner, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
