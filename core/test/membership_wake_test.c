/* Tests which states of its own a node shows after it resumes from a pause. */
#include <fakes/member_fleet.h>
#include <fakes/test_main.h>

#define NODE_COUNT 8
#define PAUSED_INSTANCE 3
#define START_MS 20000
#define STATE_COUNT_MAX 16

/*
 * The length of the pause, and the states that the node's own view then shows.
 */
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

/* The states of the paused node in its own view, in order. */
struct state_log {
	bool is_recording;
	enum node_state last;
	GString *states;
};

static void on_view(void *context, uint32_t instance,
		    const struct node_view *view)
{
	struct state_log *state_log = context;
	const struct node *self = node_view_find(view, node_view_self_id(view));

	if (instance != PAUSED_INSTANCE || !state_log->is_recording ||
	    self->state == state_log->last)
		return;
	state_log->last = self->state;
	g_string_append_printf(state_log->states, "%s ",
			       node_state_name(self->state));
}

START_TEST(test_wake)
{
	struct state_log state_log = {.last = NODE_SERVING,
				      .states = g_string_new(NULL)};
	struct member_fleet_options options = {
		.instance_count = NODE_COUNT,
		.node_count = NODE_COUNT,
		.zone_count = 4,
		.seed = 1,
		.link = {.delay_ms = 1},
		.context = &state_log,
		.view_changed = on_view,
	};
	struct member_fleet *fleet = member_fleet_new(&options);
	struct driver *driver = member_fleet_driver(fleet);
	int64_t resume_ms = START_MS + rows[_i].pause_ms;

	test_row("membership", rows[_i].name);
	driver_run_until(driver, START_MS);
	member_fleet_pause(fleet, PAUSED_INSTANCE, true);
	driver_run_until(driver, resume_ms);
	state_log.is_recording = true;
	member_fleet_pause(fleet, PAUSED_INSTANCE, false);
	driver_run_until(driver, resume_ms + START_MS);
	ck_assert_str_eq(state_log.states->str, rows[_i].states);
	ck_assert(member_fleet_is_converged(fleet));
	member_fleet_free(fleet);
	g_string_free(state_log.states, TRUE);
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
