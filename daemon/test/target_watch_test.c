/* Tests the target states that the watch reports for VM lists and rules. */
#include "requests/target_watch.h"

#include <core/rule.h>
#include <fakes/test_main.h>
#include <string.h>

#define STEP_COUNT_MAX 5
#define RULE "desk address=10.0.0.1:80 pool=10.1.0.1:80,10.1.0.2:80 # Lin"

enum action {
	ACTION_END,
	ACTION_LIST,
	ACTION_RULES,
	ACTION_REFUSE_STATE,
};

/* A list of VMs, new rules or a refused state, and the states reported then. */
struct step {
	enum action action;
	const char *list;
	const char *reported;
};

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"leaving-vm",
	 {{ACTION_LIST, "10.1.0.1 leaving", "leaving "},
	  {ACTION_LIST, "10.1.0.1 leaving", ""}}},
	{"vm-that-stays-after-all",
	 {{ACTION_LIST, "10.1.0.1 leaving", "leaving "},
	  {ACTION_LIST, "10.1.0.1 live", "serving "}}},
	{"vm-the-list-has-forgotten",
	 {{ACTION_LIST, "10.1.0.1 leaving", "leaving "},
	  {ACTION_LIST, "", ""}}},
	{"vm-of-no-target", {{ACTION_LIST, "10.9.9.9 leaving", ""}}},
	{"new-rules-while-leaving",
	 {{ACTION_LIST, "10.1.0.2 leaving", "leaving "},
	  {ACTION_RULES, NULL, "leaving "}}},
	{"full-mailbox-is-told-again",
	 {{ACTION_REFUSE_STATE, NULL, ""},
	  {ACTION_LIST, "10.1.0.1 leaving", "refused "},
	  {ACTION_LIST, "10.1.0.1 leaving", "leaving "}}},
};

struct state_recorder {
	GString *text;
	bool is_refusing;
};

static bool on_state(void *context, uint64_t target_id, enum target_state state)
{
	struct state_recorder *recorder = context;
	bool is_accepted = !recorder->is_refusing;

	g_string_append_printf(recorder->text, "%s ",
			       is_accepted ? target_state_name(state)
					   : "refused");
	recorder->is_refusing = false;
	return is_accepted;
}

static GArray *parse_list(const char *text)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct target));
	char **words = g_strsplit(text, " ", -1);
	struct target target = {.zone_id = 1};

	if (words[0] && words[1]) {
		ck_assert(ip_addr_parse(&target.endpoint.addr, words[0]));
		if (strcmp(words[1], "leaving") == 0)
			target.state = TARGET_LEAVING;
		g_array_append_val(list, target);
	}
	g_strfreev(words);
	return list;
}

static void set_rules(struct target_watch *watch)
{
	struct rule_set *rules = rule_set_new(1);

	rule_set_add(rules, rule_parse(RULE, NULL));
	target_watch_set_rules(watch, rules);
	rule_set_free(rules);
}

static void run_step(struct target_watch *watch,
		     struct state_recorder *recorder, const struct step *step,
		     const char *name)
{
	g_string_truncate(recorder->text, 0);
	if (step->action == ACTION_REFUSE_STATE)
		recorder->is_refusing = true;
	if (step->action == ACTION_RULES)
		set_rules(watch);
	if (step->action == ACTION_LIST) {
		GArray *list = parse_list(step->list);

		target_watch_update_from_list(watch, list);
		g_array_free(list, TRUE);
	}
	if (step->action != ACTION_END)
		ck_assert_msg(strcmp(recorder->text->str, step->reported) == 0,
			      "%s: %s", name, recorder->text->str);
}

START_TEST(test_watch)
{
	struct state_recorder recorder = {.text = g_string_new(NULL)};
	struct target_watch_options options = {.context = &recorder,
					       .on_state = on_state};
	struct target_watch *watch = target_watch_new(&options);

	test_row("target_watch", rows[_i].name);
	set_rules(watch);
	for (int i = 0; i < STEP_COUNT_MAX; i++)
		run_step(watch, &recorder, &rows[_i].steps[i], rows[_i].name);
	target_watch_free(watch);
	g_string_free(recorder.text, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("target_watch");
	TCase *tcase = tcase_create("watch");

	tcase_add_loop_test(tcase, test_watch, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
