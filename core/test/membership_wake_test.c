/* What a node that wakes from a pause sees of itself, step by step. */
#include <fakes/member_fleet.h>
#include <fakes/test_main.h>

#define NODE_COUNT 8
#define SLEEPER 3
#define START_MS 20000
#define STATE_COUNT_MAX 16

/* How long it sleeps, and the states its own view then shows. */
static const struct {
	const char *name;
	int64_t pause_ms;
	const char *states;
} rows[] = {
	{"wake-too-short-to-matter", 1500, ""},
	{"wake-not-missed", 2500, "joining serving "},
	{"wake-declared-dead", 30000, "joining dead joining serving "},
	{"wake-forgotten", 700000, "joining dead joining serving "},
};

/* The states of the sleeper in its own view, as they change. */
struct diary {
	bool is_open;
	enum node_state last;
	GString *states;
};

static void on_view(void *context, uint32_t instance,
		    const struct node_view *view)
{
	struct diary *diary = context;
	const struct node *self = node_view_find(view, node_view_self_id(view));

	if (instance != SLEEPER || !diary->is_open ||
	    self->state == diary->last)
		return;
	diary->last = self->state;
	g_string_append_printf(diary->states, "%s ",
			       node_state_name(self->state));
}

START_TEST(test_wake)
{
	struct diary diary = {.last = NODE_SERVING,
			      .states = g_string_new(NULL)};
	struct member_fleet_options options = {
		.instance_count = NODE_COUNT,
		.node_count = NODE_COUNT,
		.zone_count = 4,
		.seed = 1,
		.link = {.delay_ms = 1},
		.context = &diary,
		.view_changed = on_view,
	};
	struct member_fleet *fleet = member_fleet_new(&options);
	struct driver *driver = member_fleet_driver(fleet);
	int64_t woken_ms = START_MS + rows[_i].pause_ms;

	test_row("membership", rows[_i].name);
	driver_run_until(driver, START_MS);
	member_fleet_pause(fleet, SLEEPER, true);
	driver_run_until(driver, woken_ms);
	diary.is_open = true;
	member_fleet_pause(fleet, SLEEPER, false);
	driver_run_until(driver, woken_ms + START_MS);
	ck_assert_str_eq(diary.states->str, rows[_i].states);
	ck_assert(member_fleet_is_converged(fleet));
	member_fleet_free(fleet);
	g_string_free(diary.states, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership_wake");
	TCase *tcase = tcase_create("wake");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_wake, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
