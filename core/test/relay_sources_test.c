/* Sequences of events, and which source a node reads from after them. */
#include <core/relay_sources.h>
#include <fakes/test_main.h>

#define STEP_COUNT_MAX 12
#define PORT_FIRST 7000
#define LINK_MBPS 100

enum step_kind {
	END,
	/* The store lists a nodes; b of them have more bandwidth than self. */
	LISTED,
	/* The settings have a seeds. */
	SEEDS,
	/* A node that is not in the store's list announces itself. */
	UNLISTED_NODE,
	/* Requests the next source and expects this kind. */
	NEXT_STORE,
	NEXT_PEER,
	NEXT_NONE,
	/* Reading from the chosen source fails or succeeds. */
	FAILURE,
	SUCCESS,
	/* Expects that this node reads the store, or that it does not. */
	IS_READER,
	IS_NOT_READER,
};

struct step {
	int64_t at_ms;
	enum step_kind kind;
	uint32_t a;
	uint32_t b;
};

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"node-that-knows-nobody-asks-the-store", {{0, NEXT_STORE, 0, 0}}},
	{"store-away-at-the-start",
	 {{0, SEEDS, 2, 0},
	  {0, NEXT_STORE, 0, 0},
	  {5, FAILURE, 0, 0},
	  {5, NEXT_PEER, 0, 0},
	  {6, FAILURE, 0, 0},
	  {6, NEXT_PEER, 0, 0},
	  {7, FAILURE, 0, 0},
	  {7, NEXT_NONE, 0, 0},
	  {400, NEXT_STORE, 0, 0}}},
	{"stranger-is-asked-though-seeds-failed",
	 {{0, SEEDS, 2, 0},
	  {0, NEXT_STORE, 0, 0},
	  {5, FAILURE, 0, 0},
	  {5, NEXT_PEER, 0, 0},
	  {6, FAILURE, 0, 0},
	  {6, NEXT_PEER, 0, 0},
	  {7, FAILURE, 0, 0},
	  {7, NEXT_NONE, 0, 0},
	  {8, UNLISTED_NODE, 0, 0},
	  {8, NEXT_PEER, 0, 0}}},
	{"node-of-much-bandwidth-reads-the-store",
	 {{0, LISTED, 8, 1}, {0, IS_READER, 0, 0}, {0, NEXT_STORE, 0, 0}}},
	{"other-node-follows",
	 {{0, LISTED, 8, 5}, {0, IS_NOT_READER, 0, 0}, {0, NEXT_PEER, 0, 0}}},
	{"follower-goes-to-the-store-when-two-nodes-fail",
	 {{0, LISTED, 8, 5},
	  {0, NEXT_PEER, 0, 0},
	  {1, FAILURE, 0, 0},
	  {1, NEXT_PEER, 0, 0},
	  {2, FAILURE, 0, 0},
	  {2, NEXT_STORE, 0, 0}}},
	{"follower-comes-back-when-the-pause-is-over",
	 {{0, LISTED, 8, 5},
	  {0, NEXT_PEER, 0, 0},
	  {1, FAILURE, 0, 0},
	  {1, NEXT_PEER, 0, 0},
	  {2, FAILURE, 0, 0},
	  {2, NEXT_STORE, 0, 0},
	  {3, SUCCESS, 0, 0},
	  {2000, NEXT_PEER, 0, 0}}},
	{"reader-refused-by-the-store-follows",
	 {{0, LISTED, 8, 0},
	  {0, NEXT_STORE, 0, 0},
	  {1, FAILURE, 0, 0},
	  {1, NEXT_PEER, 0, 0}}},
	{"reader-goes-back-to-the-store",
	 {{0, LISTED, 8, 0},
	  {0, NEXT_STORE, 0, 0},
	  {1, FAILURE, 0, 0},
	  {1, NEXT_PEER, 0, 0},
	  {2, SUCCESS, 0, 0},
	  {2000, IS_READER, 0, 0},
	  {2000, NEXT_STORE, 0, 0}}},
	{"failed-reader-is-replaced",
	 {{0, LISTED, 3, 2},
	  {0, IS_NOT_READER, 0, 0},
	  {0, NEXT_PEER, 0, 0},
	  {1, FAILURE, 0, 0},
	  {1, IS_READER, 0, 0},
	  {1, NEXT_STORE, 0, 0}}},
	{"more-readers-in-a-large-fleet",
	 {{0, LISTED, 240, 4},
	  {0, IS_READER, 0, 0},
	  {0, LISTED, 240, 5},
	  {0, IS_NOT_READER, 0, 0}}},
};

static void list_nodes(struct relay_sources *sources, uint32_t count,
		       uint32_t self_rank)
{
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));

	for (uint32_t i = 0; i < count; i++) {
		struct relay_peer peer = {
			.node_id = i == self_rank ? 1 : 100 + i,
			.link_mbps = LINK_MBPS + count - i,
		};

		endpoint_parse(&peer.endpoint, "10.0.0.1:1");
		peer.endpoint.port = (uint16_t)(PORT_FIRST + i);
		g_array_append_val(peers, peer);
	}
	relay_sources_set_peers(sources, peers);
	g_array_free(peers, TRUE);
}

static void set_seeds(struct relay_sources *sources, uint32_t count)
{
	GArray *seeds = g_array_new(FALSE, TRUE, sizeof(struct endpoint));

	for (uint32_t i = 0; i < count; i++) {
		struct endpoint seed;

		endpoint_parse(&seed, "10.0.0.2:1");
		seed.port = (uint16_t)(PORT_FIRST + i);
		g_array_append_val(seeds, seed);
	}
	relay_sources_set_seeds(sources, seeds);
	g_array_free(seeds, TRUE);
}

static void add_unlisted_node(struct relay_sources *sources)
{
	struct endpoint address;

	endpoint_parse(&address, "10.0.0.3:7");
	relay_sources_add_seed(sources, &address);
}

static void expect_source(struct relay_sources *sources, int64_t now_ms,
			  enum relay_source_kind kind)
{
	struct relay_source source = relay_sources_next(sources, now_ms);

	ck_assert_int_eq(source.kind, kind);
	if (kind == RELAY_SOURCE_NONE)
		ck_assert_int_gt(source.retry_at_ms, now_ms);
}

static void run_step(struct relay_sources *sources, const struct step *step)
{
	switch (step->kind) {
	case LISTED:
		list_nodes(sources, step->a, step->b);
		break;
	case SEEDS:
		set_seeds(sources, step->a);
		break;
	case UNLISTED_NODE:
		add_unlisted_node(sources);
		break;
	case NEXT_STORE:
		expect_source(sources, step->at_ms, RELAY_SOURCE_STORE);
		break;
	case NEXT_PEER:
		expect_source(sources, step->at_ms, RELAY_SOURCE_PEER);
		break;
	case NEXT_NONE:
		expect_source(sources, step->at_ms, RELAY_SOURCE_NONE);
		break;
	case FAILURE:
		relay_sources_record_failure(sources, step->at_ms);
		break;
	case SUCCESS:
		relay_sources_record_success(sources);
		break;
	case IS_READER:
	case IS_NOT_READER:
		ck_assert_int_eq(relay_sources_is_reader(sources, step->at_ms),
				 step->kind == IS_READER);
		break;
	case END:
		break;
	}
}

START_TEST(test_row_of_steps)
{
	GRand *random = g_rand_new_with_seed(1);
	struct relay_sources *sources = relay_sources_new(1, random);

	test_row("relay_sources", rows[_i].name);
	for (const struct step *step = rows[_i].steps; step->kind != END;
	     step++)
		run_step(sources, step);
	relay_sources_free(sources);
	g_rand_free(random);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_sources");
	TCase *tcase = tcase_create("relay_sources");

	tcase_add_loop_test(tcase, test_row_of_steps, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
