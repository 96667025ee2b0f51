#include <fakes/flow_change.h>
#include <fakes/test_main.h>
#include <inttypes.h>

#define WARM_UP_MS 12000
#define CHANGE_MS 1000
#define LONG_FLOW_COUNT 2000
#define NEW_FLOWS_PER_S 100
#define CONTROL_BYTES_PER_S 3000
#define SPARE_COUNT 10

static struct flow_fleet *make_fleet(void)
{
	struct flow_fleet_options options = {
		.node_count = 8,
		.spare_count = SPARE_COUNT,
		.zone_count = 4,
		.target_count = 15,
		.long_flow_count = LONG_FLOW_COUNT,
		.new_flows_per_s = NEW_FLOWS_PER_S,
		.control_bytes_per_s = CONTROL_BYTES_PER_S,
		.update_delay_max_ms = 2000,
		.seed = 1,
		.link = {.delay_ms = 1, .jitter_ms = 2},
	};

	return flow_fleet_new(&options);
}

static void check_counts(const struct flow_fleet *fleet, const char *name)
{
	struct flow_fleet_counts counts = flow_fleet_counts(fleet);

	ck_assert_msg(counts.opened_count > LONG_FLOW_COUNT, "%s", name);
	ck_assert_msg(counts.broken_count == 0, "%s: %" PRIu64 " broken", name,
		      counts.broken_count);
	ck_assert_msg(counts.wrong_service_count == 0, "%s: wrong service",
		      name);
	ck_assert_msg(counts.placed_on_leaving_count == 0, "%s: leaving target",
		      name);
}

/* Two overlapping changes, the second one second after the first. */
START_TEST(test_planned)
{
	const struct flow_change *first =
		&flow_changes[(uint32_t)_i / flow_change_count];
	const struct flow_change *second =
		&flow_changes[(uint32_t)_i % flow_change_count];
	struct flow_fleet *fleet;
	char name[64];

	/* Each unordered pair runs once. */
	if (second < first)
		return;
	g_snprintf(name, sizeof(name), "%s+%s", first->name, second->name);
	fleet = make_fleet();
	flow_fleet_run(fleet, WARM_UP_MS);
	first->apply(fleet, 0);
	flow_fleet_run(fleet, CHANGE_MS);
	second->apply(fleet, second == first);
	flow_fleet_run(fleet, MAX(first->settle_ms, second->settle_ms));
	ck_assert_msg(!flow_fleet_is_replacing(fleet), "%s", name);
	check_counts(fleet, name);
	flow_fleet_free(fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_director");
	TCase *tcase = tcase_create("planned");

	tcase_set_timeout(tcase, 300);
	tcase_add_loop_test(tcase, test_planned, 0,
			    (int)(flow_change_count * flow_change_count));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
