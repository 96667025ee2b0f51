#include <core/node_feature.h>
#include <core/rules_replica.h>
#include <fakes/test_main.h>
#include <string.h>

#define STEP_MAX 4
#define RULE_SUFFIX " pool=10.1.0.1:80 # Lin"
#define DESK_1 "desk address=10.0.0.1:80,10.0.0.2:80" RULE_SUFFIX
#define DESK_2 "desk v=2 address=10.0.0.1:80 pool=10.1.0.1:80~5 # Lin"
#define DESK_3 "desk v=3 colour=red # Lin"
#define SHOP_2 "shop address=10.0.0.2:80" RULE_SUFFIX

/* A received line, or none if text is NULL, and the common features then. */
struct step {
	uint64_t generation;
	uint32_t form;
	const char *text;
	const char *previous_text;
	uint64_t features;
	bool is_deleted;
};

/*
 * in_force lists the rules expected in force after the last step, each as
 * "service:address count:generation ", sorted by name.
 */
static const struct {
	const char *name;
	struct step steps[STEP_MAX];
	const char *in_force;
	uint32_t held_line_count;
} rows[] = {
	{"newer-line-wins", {{2, 1, DESK_1, NULL, 0, false}}, "desk:2:2 ", 0},
	{"older-line-changes-nothing",
	 {{5, 1, DESK_1, NULL, 0, false},
	  {4, 1, "desk address=10.0.0.9:80" RULE_SUFFIX, NULL, 0, false}},
	 "desk:2:5 ",
	 0},
	{"deleted-line-stays-deleted",
	 {{5, 1, DESK_1, NULL, 0, false},
	  {6, 1, "desk", NULL, 0, true},
	  {5, 1, DESK_1, NULL, 0, false}},
	 "",
	 0},
	{"address-that-moves-has-one-owner",
	 {{5, 1, DESK_1, NULL, 0, false}, {6, 1, SHOP_2, NULL, 0, false}},
	 "desk:1:5 shop:1:6 ",
	 0},
	{"form-2-waits-for-its-feature",
	 {{5, 2, DESK_2, DESK_1, 0, false}},
	 "desk:2:4 ",
	 1},
	{"form-2-with-its-feature",
	 {{5, 2, DESK_2, DESK_1, 0, false},
	  {0, 0, NULL, NULL, NODE_FEATURE_RULE_FORM_2, false}},
	 "desk:1:5 ",
	 0},
	{"feature-stays-in-use",
	 {{5, 2, DESK_2, DESK_1, NODE_FEATURE_RULE_FORM_2, false},
	  {0, 0, NULL, NULL, 0, false}},
	 "desk:1:5 ",
	 0},
	{"later-form-keeps-what-was-in-force",
	 {{5, 1, DESK_1, NULL, 0, false}, {6, 3, DESK_3, NULL, 0, false}},
	 "desk:2:5 ",
	 1},
	{"later-form-with-an-earlier-text",
	 {{6, 3, DESK_3, DESK_1, 0, false}},
	 "desk:2:5 ",
	 1},
	{"later-form-and-nothing-before",
	 {{6, 3, DESK_3, NULL, 0, false}},
	 "",
	 1},
};

static void run_step(struct rules_replica *replica, const struct step *step)
{
	struct rules_line *line;
	char *name;

	if (step->text) {
		name = g_strndup(step->text, strcspn(step->text, " "));
		line = rules_line_new(name,
				      step->is_deleted ? NULL : step->text);
		line->generation = step->generation;
		line->form = step->form;
		line->previous_text = g_strdup(step->previous_text);
		rules_replica_put(replica, line);
		g_free(name);
	}
	rules_replica_rebuild(replica, step->features);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static char *format_rules(const struct rules_replica *replica)
{
	const struct rule_set *rules = rules_replica_rules(replica);
	GPtrArray *parts = g_ptr_array_new_with_free_func(g_free);
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < rule_set_count(rules); i++) {
		const struct rule *rule = rule_set_at(rules, i);

		g_ptr_array_add(parts,
				g_strdup_printf("%s:%u:%" G_GUINT64_FORMAT " ",
						rule->service.name,
						rule->address_count,
						rule->generation));
	}
	g_ptr_array_sort(parts, compare_names);
	for (guint i = 0; i < parts->len; i++)
		g_string_append(text, g_ptr_array_index(parts, i));
	g_ptr_array_free(parts, TRUE);
	return g_string_free(text, FALSE);
}

START_TEST(test_replica)
{
	struct rules_replica *replica = rules_replica_new();
	char *found;

	test_row("rules_replica", rows[_i].name);
	for (int i = 0; i < STEP_MAX; i++)
		run_step(replica, &rows[_i].steps[i]);
	found = format_rules(replica);
	ck_assert_msg(strcmp(found, rows[_i].in_force) == 0, "%s: %s",
		      rows[_i].name, found);
	ck_assert_uint_eq(rules_replica_held_line_count(replica),
			  rows[_i].held_line_count);
	g_free(found);
	rules_replica_free(replica);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_replica");
	TCase *tcase = tcase_create("replica");

	tcase_add_loop_test(tcase, test_replica, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
