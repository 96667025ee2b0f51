/* Two nodes claim one key, one after the other, with a fault in between. */
#include "claim_fault_steps.h"
#include <string.h>

/* When the fault occurs, relative to the first node's claim. */
enum step {
	STEP_BEFORE,
	STEP_REQUESTED,
	STEP_GRANTED,
	STEP_RELEASED,
	STEP_COUNT,
};

static const char *const step_names[STEP_COUNT] = {
	"before it asks",
	"while it asks",
	"after it is granted",
	"after it is released",
};

/*
 * Expected results of the two claims, by step: G granted, T taken, U unknown,
 * - no result because the node is dead. Two grants are correct only where the
 * first claim was released.
 */
static const struct {
	const char *name;
	void (*fault)(struct claim_fleet *fleet,
		      const struct fault_roles *roles);
	const char *expected[STEP_COUNT];
} rows[] = {
	{"nothing", no_fault, {"GT", "GT", "GT", "GG"}},
	{"owner dies", kill_owner, {"-G", "-T", "GT", "GG"}},
	{"owner leaves", remove_owner, {"GT", "GT", "GT", "GG"}},
	{"owner pauses", pause_owner, {"UT", "UT", "GT", "GG"}},
	{"holder dies", kill_holder, {"GT", "GT", "GT", "GG"}},
	{"holder pauses", pause_holder, {"GT", "GT", "GT", "GG"}},
	{"holder replaced", replace_holder, {"GT", "GT", "GT", "GG"}},
	{"holders replaced in turn",
	 replace_holders_in_turn,
	 {"GT", "GT", "GT", "GG"}},
	{"holders lost at once", kill_two_holders, {"UU", "UU", "GU", "GU"}},
	{"members join", add_members, {"GT", "GT", "GT", "GG"}},
	{"roster known to one node",
	 publish_to_other_only,
	 {"GT", "GT", "GT", "GG"}},
	{"three rosters in a row",
	 publish_three_rosters,
	 {"GT", "GT", "GT", "GG"}},
	{"owner's zone cut off",
	 partition_owner_zone,
	 {"UG", "UT", "GT", "GG"}},
	{"other's zone cut off",
	 partition_other_zone,
	 {"GU", "GU", "GU", "GU"}},
	{"messages lost", lose_messages, {"GT", "GT", "GT", "GG"}},
	{"messages doubled", duplicate_messages, {"GT", "GT", "GT", "GG"}},
};

#define ROW_COUNT (sizeof(rows) / sizeof(rows[0]))

static char result_letter(enum claim_result result)
{
	static const char letters[] = {
		[CLAIM_GRANTED] = 'G',
		[CLAIM_TAKEN] = 'T',
		[CLAIM_UNKNOWN] = 'U',
		[CLAIM_NO_RESULT] = '-',
	};

	return letters[result];
}

static bool is_holder(const struct fault_roles *roles, uint32_t index)
{
	for (int i = 0; i < ROSTER_HOLDERS_MAX; i++) {
		if (roles->holders[i] == index)
			return true;
	}
	return false;
}

/* Owner and other do not hold the key, so that a fault affects one role. */
static struct fault_roles assign_roles(const struct claim_fleet *fleet)
{
	struct fault_roles roles = {.key = {17, 42}};
	struct roster_holders holders =
		roster_holders_of(&fleet->roster.epochs[0], roles.key);

	for (int i = 0; i < ROSTER_HOLDERS_MAX; i++)
		roles.holders[i] = claim_node_index(holders.node_ids[i]);
	while (is_holder(&roles, roles.owner))
		roles.owner++;
	roles.other = roles.owner + 1;
	while (is_holder(&roles, roles.other) ||
	       roles.other % CLAIM_ZONE_COUNT == roles.owner % CLAIM_ZONE_COUNT)
		roles.other++;
	return roles;
}

static void claim(struct claim_fleet *fleet, uint32_t index, uint64_t request,
		  struct hash128 key)
{
	struct claim_fleet_node *node = &fleet->nodes[index];

	if (!node->is_dead)
		claim_director_claim(node->claims, request, key,
				     driver_now_ms(fleet->driver));
}

static void run_case(struct claim_fleet *fleet, const struct fault_roles *roles,
		     size_t row, enum step step)
{
	if (step == STEP_BEFORE)
		rows[row].fault(fleet, roles);
	claim(fleet, roles->owner, FIRST_REQUEST_ID, roles->key);
	if (step == STEP_REQUESTED)
		rows[row].fault(fleet, roles);
	claim_fleet_run(fleet, 4000);
	if (step == STEP_GRANTED)
		rows[row].fault(fleet, roles);
	if (step == STEP_RELEASED) {
		claim_director_release(fleet->nodes[roles->owner].claims,
				       FIRST_REQUEST_ID, roles->key, 4000);
		claim_fleet_run(fleet, 4100);
		rows[row].fault(fleet, roles);
	}
	claim_fleet_run(fleet, 8000);
	claim(fleet, roles->other, SECOND_REQUEST_ID, roles->key);
	claim_fleet_run(fleet, 9500);
	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++) {
		if (fleet->nodes[i].is_paused)
			claim_fleet_pause(fleet, i, false);
	}
	claim_fleet_run(fleet, 12000);
}

START_TEST(test_fault)
{
	size_t row = (size_t)_i / STEP_COUNT;
	enum step step = (enum step)(_i % STEP_COUNT);
	const char *expected = rows[row].expected[step];
	struct claim_fleet fleet;
	struct fault_roles roles;
	char name[96];
	char seen[3] = "";

	snprintf(name, sizeof(name), "%s, %s", rows[row].name,
		 step_names[step]);
	test_row("claim_fault", name);
	claim_fleet_init(&fleet, 1);
	claim_fleet_publish(&fleet, FIRST_MEMBERS_MASK, ALL_NODES_MASK);
	claim_fleet_run(&fleet, 1000);
	roles = assign_roles(&fleet);
	run_case(&fleet, &roles, row, step);
	seen[0] = result_letter(fleet.results[FIRST_REQUEST_ID]);
	seen[1] = result_letter(fleet.results[SECOND_REQUEST_ID]);
	ck_assert_msg(strcmp(seen, expected) == 0, "%s: %s, expected %s", name,
		      seen, expected);
	claim_fleet_clear(&fleet);
}
END_TEST

/* At most one of several concurrent claims is granted, with every fault. */
START_TEST(test_at_once)
{
	size_t row = (size_t)_i % ROW_COUNT;
	struct claim_fleet fleet;
	struct fault_roles roles;
	uint32_t granted_count = 0;

	test_row("claim_at_once", rows[row].name);
	claim_fleet_init(&fleet, (uint64_t)_i);
	claim_fleet_publish(&fleet, FIRST_MEMBERS_MASK, ALL_NODES_MASK);
	claim_fleet_run(&fleet, 1000);
	roles = assign_roles(&fleet);
	for (uint32_t i = 0; i < 4; i++) {
		claim(&fleet, i, 1 + i, roles.key);
		claim_fleet_run(&fleet, 1000 + i);
	}
	rows[row].fault(&fleet, &roles);
	claim_fleet_run(&fleet, 9000);
	for (uint32_t i = 0; i < 4; i++) {
		if (fleet.results[1 + i] == CLAIM_GRANTED)
			granted_count++;
	}
	ck_assert_msg(granted_count <= 1, "%s, seed %d: %u granted",
		      rows[row].name, _i, granted_count);
	claim_fleet_clear(&fleet);
}
END_TEST

/* Time of the second claim on a key granted after 1000 ms, and its result. */
static const struct {
	const char *name;
	int64_t claimed_ms;
	void (*fault)(struct claim_fleet *fleet,
		      const struct fault_roles *roles);
	enum claim_result second_result;
} lifetime_rows[] = {
	{"within the lifetime", CLAIM_LIFETIME_MS, no_fault, CLAIM_TAKEN},
	{"after the lifetime", CLAIM_LIFETIME_MS + 2000, no_fault,
	 CLAIM_GRANTED},
	{"holders lost, within lease and lifetime", CLAIM_LIFETIME_MS + 2000,
	 kill_two_holders, CLAIM_UNKNOWN},
	{"holders lost, after lease and lifetime",
	 CLAIM_LEASE_MS + CLAIM_LIFETIME_MS + 6000, kill_two_holders,
	 CLAIM_GRANTED},
};

START_TEST(test_lifetime)
{
	struct claim_fleet fleet;
	struct fault_roles roles;

	test_row("claim_lifetime", lifetime_rows[_i].name);
	claim_fleet_init(&fleet, 1);
	claim_fleet_publish(&fleet, FIRST_MEMBERS_MASK, ALL_NODES_MASK);
	claim_fleet_run(&fleet, 1000);
	roles = assign_roles(&fleet);
	claim(&fleet, roles.owner, FIRST_REQUEST_ID, roles.key);
	claim_fleet_run(&fleet, 2000);
	ck_assert_int_eq(fleet.results[FIRST_REQUEST_ID], CLAIM_GRANTED);
	lifetime_rows[_i].fault(&fleet, &roles);
	claim_fleet_run(&fleet, lifetime_rows[_i].claimed_ms);
	claim(&fleet, roles.other, SECOND_REQUEST_ID, roles.key);
	claim_fleet_run(&fleet, lifetime_rows[_i].claimed_ms + 1500);
	ck_assert_int_eq(fleet.results[SECOND_REQUEST_ID],
			 lifetime_rows[_i].second_result);
	claim_fleet_clear(&fleet);
}
END_TEST

/*
 * A roster reaches the nodes of first_notified_mask at once and the others
 * later_ms later. A claim on a new key, made claimed_after_ms after that, is
 * granted.
 */
static const struct {
	const char *name;
	uint32_t member_mask;
	uint32_t first_notified_mask;
	uint32_t later_ms;
	uint32_t claimed_after_ms;
} propagation_rows[] = {
	{"all at once", FIRST_MEMBERS_MASK & ~1U, ALL_NODES_MASK, 0, 100},
	{"half of them later", FIRST_MEMBERS_MASK & ~1U, 0x55, 2000, 100},
	{"one before all others", FIRST_MEMBERS_MASK & ~1U, 0x40, 2000, 100},
	{"all but one", FIRST_MEMBERS_MASK & ~1U, ALL_NODES_MASK & ~0x40U, 2000,
	 100},
	{"two members left", 0x60, 0x20, 2000, 100},
	{"three members left", 0x70, 0x20, 2000, 100},
};

static void notify_all(struct claim_fleet *fleet)
{
	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++)
		claim_director_set_roster(fleet->nodes[i].claims,
					  &fleet->roster,
					  driver_now_ms(fleet->driver));
}

START_TEST(test_propagation)
{
	struct claim_fleet fleet;
	struct fault_roles roles;

	test_row("claim_spread", propagation_rows[_i].name);
	claim_fleet_init(&fleet, 1);
	claim_fleet_publish(&fleet, FIRST_MEMBERS_MASK, ALL_NODES_MASK);
	claim_fleet_run(&fleet, 1000);
	roles = assign_roles(&fleet);
	claim_fleet_publish(&fleet, propagation_rows[_i].member_mask,
			    propagation_rows[_i].first_notified_mask);
	claim_fleet_run(&fleet, 1000 + propagation_rows[_i].later_ms);
	notify_all(&fleet);
	claim_fleet_run(&fleet, 1000 + propagation_rows[_i].later_ms +
					propagation_rows[_i].claimed_after_ms);
	claim(&fleet, roles.owner, FIRST_REQUEST_ID, roles.key);
	claim_fleet_run(&fleet, 1900 + propagation_rows[_i].later_ms);
	ck_assert_int_eq(fleet.results[FIRST_REQUEST_ID], CLAIM_GRANTED);
	claim_fleet_clear(&fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claim_fault");
	TCase *tcase = tcase_create("fault");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_fault, 0,
			    (int)(ROW_COUNT * STEP_COUNT));
	tcase_add_loop_test(tcase, test_at_once, 0, (int)(ROW_COUNT * 20));
	tcase_add_loop_test(tcase, test_lifetime, 0,
			    sizeof(lifetime_rows) / sizeof(lifetime_rows[0]));
	tcase_add_loop_test(tcase, test_propagation, 0,
			    sizeof(propagation_rows) /
				    sizeof(propagation_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
