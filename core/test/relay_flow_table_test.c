/*
 * The flow table finds exactly the flows that were added and not removed, also
 * when their hashes collide, while it grows, and when records are used again.
 */
#include <core/relay_flow_table.h>
#include <fakes/test_main.h>
#include <glib.h>
#include <string.h>

#define CAPACITY 20000
#define SEED 20261204

/* hash_count hashes are used; only part_count of their upper halves differ. */
static const struct {
	const char *name;
	uint32_t hash_count;
	uint32_t part_count;
	uint32_t operation_count;
} rows[] = {
	{"few flows", 16, 16, 2000},
	{"the index grows", 6000, 6000, 30000},
	{"all hashes collide", 200, 1, 4000},
	{"neighbouring slots", 600, 40, 20000},
};

static struct hash128 hash_of(uint32_t number, uint32_t part_count)
{
	return (struct hash128){
		.low = ((uint64_t)(number % part_count) << 32) | 7,
		.high = number,
	};
}

static void check_all(struct relay_flow_table *table, uint32_t row,
		      struct relay_flow *const *expected)
{
	for (uint32_t i = 0; i < rows[row].hash_count; i++)
		ck_assert_ptr_eq(
			relay_flow_table_find(table,
					      hash_of(i, rows[row].part_count)),
			expected[i]);
}

START_TEST(test_operations)
{
	struct relay_flow_table *table = relay_flow_table_new(CAPACITY);
	struct relay_flow **expected =
		g_new0(struct relay_flow *, rows[_i].hash_count);
	GRand *random = g_rand_new_with_seed(SEED);
	uint32_t count = 0;

	for (uint32_t i = 0; i < rows[_i].operation_count; i++) {
		uint32_t number = (uint32_t)g_rand_int_range(
			random, 0, (gint32)rows[_i].hash_count);

		if (expected[number]) {
			relay_flow_table_remove(table, expected[number]);
			expected[number] = NULL;
			count--;
		} else {
			expected[number] = relay_flow_table_add(
				table, hash_of(number, rows[_i].part_count), i);
			count++;
		}
		ck_assert_uint_eq(relay_flow_table_count(table), count);
	}
	check_all(table, (uint32_t)_i, expected);
	relay_flow_table_free(table);
	g_rand_free(random);
	g_free(expected);
}
END_TEST

/* Which copy of the opening packet a flow has in each state. */
static const struct {
	const char *name;
	uint32_t length_bytes;
	enum relay_flow_state state;
	uint32_t stored_bytes;
} opening_rows[] = {
	{"opening", 34, RELAY_FLOW_OPENING, 34},
	{"longest", RELAY_OPENING_BYTES_MAX, RELAY_FLOW_OPENING,
	 RELAY_OPENING_BYTES_MAX},
	{"too long", RELAY_OPENING_BYTES_MAX + 1, RELAY_FLOW_OPENING, 0},
	{"open", 34, RELAY_FLOW_OPEN, 0},
	{"ended without an answer", 34, RELAY_FLOW_ENDED, 34},
};

START_TEST(test_opening)
{
	static const uint8_t bytes[RELAY_OPENING_BYTES_MAX + 1] = {1, 2, 3};
	struct relay_flow_table *table = relay_flow_table_new(CAPACITY);
	struct relay_flow *flow =
		relay_flow_table_add(table, hash_of(1, 1), 1000);

	relay_flow_table_set_opening(flow, bytes, sizeof(bytes) - 1);
	relay_flow_table_set_opening(flow, bytes,
				     opening_rows[_i].length_bytes);
	if (opening_rows[_i].state != RELAY_FLOW_OPENING)
		relay_flow_table_set_state(table, flow, opening_rows[_i].state);
	ck_assert_uint_eq(flow->opening_bytes, opening_rows[_i].stored_bytes);
	if (flow->opening_bytes > 0)
		ck_assert_int_eq(
			memcmp(flow->opening, bytes, flow->opening_bytes), 0);
	relay_flow_table_free(table);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_flow_table");
	TCase *tcase = tcase_create("relay_flow_table");

	tcase_add_loop_test(tcase, test_operations, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_loop_test(tcase, test_opening, 0,
			    sizeof(opening_rows) / sizeof(opening_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
