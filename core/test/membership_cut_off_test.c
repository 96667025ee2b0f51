/* Tests when members of a partitioned zone are shown as cut off. */
#include <core/membership.h>
#include <fakes/test_main.h>
#include <glib.h>

#define SELF_ID 1
#define SENDER_ID 2
/* The members of the zone under test; the state of the last one is checked. */
#define MEMBER_ID_FIRST 11
#define MEMBER_ID_LAST 14
#define ZONE_ID 7
#define ACCUSED_MS 1000
#define CHECK_MS 5500
#define NEVER_MS 0

/*
 * The sender reports all members of the zone as suspect at once. Then one of
 * them is heard from again: through its own message, or through a refutation
 * that another node passes on.
 */
static const struct {
	const char *name;
	int64_t heard_ms;
	int64_t refuted_ms;
	enum node_state state;
} rows[] = {
	{"zone-silent", NEVER_MS, NEVER_MS, NODE_CUT_OFF},
	{"zone-heard-directly", 4000, NEVER_MS, NODE_SUSPECT},
	{"zone-heard-long-ago", 1200, NEVER_MS, NODE_CUT_OFF},
	{"zone-refuted-through-another-node", NEVER_MS, 4000, NODE_SUSPECT},
	{"zone-refuted-long-ago", NEVER_MS, 1200, NODE_CUT_OFF},
};

static void drop_message(void *context, uint64_t to_node_id,
			 const struct endpoint *to,
			 const struct member_message *message)
{
}

static void ignore_view(void *context, const struct node_view *view)
{
}

static void ignore_event(void *context, const struct member_event *event)
{
}

static struct node node_of(uint64_t node_id, uint32_t zone_id)
{
	struct node node = {
		.node_id = node_id,
		.incarnation = 1,
		.zone_id = zone_id,
		.state = NODE_SERVING,
	};

	node.control.port = (uint16_t)node_id;
	return node;
}

static void deliver_gossip(struct membership *membership, uint64_t from_node_id,
			   const struct member_update *update, int64_t now_ms)
{
	struct endpoint from = {.port = (uint16_t)from_node_id};
	struct member_message message = {.kind = MEMBER_GOSSIP};

	if (update)
		message.updates[message.update_count++] = *update;
	membership_receive(membership, from_node_id, &from, &message, now_ms);
}

static void deliver_new_member(struct membership *membership, uint64_t node_id,
			       uint32_t zone_id)
{
	struct member_update update = {.node = node_of(node_id, zone_id)};

	deliver_gossip(membership, SENDER_ID, &update, 0);
}

static struct membership *make_fleet(void)
{
	struct membership_options options = {
		.self = node_of(SELF_ID, ZONE_ID + 1),
		.is_standalone = true,
		.seed = 1,
		.callbacks = {.send = drop_message,
			      .view_changed = ignore_view,
			      .event = ignore_event},
	};
	struct membership *membership = membership_new(&options, 0);

	deliver_new_member(membership, SENDER_ID, ZONE_ID + 1);
	for (uint64_t id = MEMBER_ID_FIRST; id <= MEMBER_ID_LAST; id++)
		deliver_new_member(membership, id, ZONE_ID);
	return membership;
}

static void accuse_all(struct membership *membership)
{
	for (uint64_t id = MEMBER_ID_FIRST; id <= MEMBER_ID_LAST; id++) {
		struct member_update update = {.node = node_of(id, ZONE_ID),
					       .accuser_id = SENDER_ID};

		update.node.state = NODE_SUSPECT;
		deliver_gossip(membership, SENDER_ID, &update, ACCUSED_MS);
	}
}

static void refute(struct membership *membership, int64_t now_ms)
{
	struct member_update update = {
		.node = node_of(MEMBER_ID_FIRST, ZONE_ID)};

	update.node.incarnation++;
	deliver_gossip(membership, SENDER_ID, &update, now_ms);
}

static void step(struct membership *membership, int row, int64_t now_ms)
{
	if (now_ms == ACCUSED_MS)
		accuse_all(membership);
	if (now_ms == rows[row].heard_ms)
		deliver_gossip(membership, MEMBER_ID_FIRST, NULL, now_ms);
	if (now_ms == rows[row].refuted_ms)
		refute(membership, now_ms);
	membership_tick(membership, now_ms);
}

START_TEST(test_cut_off)
{
	struct membership *membership = make_fleet();
	const struct node *last;

	test_row("membership", rows[_i].name);
	for (int64_t now_ms = MEMBERSHIP_TICK_MS; now_ms <= CHECK_MS;
	     now_ms += MEMBERSHIP_TICK_MS)
		step(membership, _i, now_ms);
	last = node_view_find(membership_view(membership), MEMBER_ID_LAST);
	ck_assert_ptr_nonnull(last);
	ck_assert_str_eq(node_state_name(last->state),
			 node_state_name(rows[_i].state));
	membership_free(membership);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership_cut_off");
	TCase *tcase = tcase_create("cut off");

	tcase_add_loop_test(tcase, test_cut_off, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
