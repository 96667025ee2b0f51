#include <core/flow_key.h>
#include <fakes/test_main.h>

/* Pairs of keys, and whether they identify the same flow. */
static const struct {
	const char *name;
	const char *caller[2];
	const char *service[2];
	uint8_t protocol[2];
	bool is_same;
} rows[] = {
	{"same",
	 {"192.0.2.1:1000", "192.0.2.1:1000"},
	 {"10.0.0.1:80", "10.0.0.1:80"},
	 {6, 6},
	 true},
	{"caller port",
	 {"192.0.2.1:1000", "192.0.2.1:1001"},
	 {"10.0.0.1:80", "10.0.0.1:80"},
	 {6, 6},
	 false},
	{"caller address",
	 {"192.0.2.1:1000", "192.0.2.2:1000"},
	 {"10.0.0.1:80", "10.0.0.1:80"},
	 {6, 6},
	 false},
	{"service port",
	 {"192.0.2.1:1000", "192.0.2.1:1000"},
	 {"10.0.0.1:80", "10.0.0.1:81"},
	 {6, 6},
	 false},
	{"protocol",
	 {"192.0.2.1:1000", "192.0.2.1:1000"},
	 {"10.0.0.1:80", "10.0.0.1:80"},
	 {6, 17},
	 false},
	{"family",
	 {"192.0.2.1:1000", "[2001:db8::1]:1000"},
	 {"10.0.0.1:80", "[2001:db8::2]:80"},
	 {6, 6},
	 false},
	{"ends swapped",
	 {"192.0.2.1:80", "10.0.0.1:80"},
	 {"10.0.0.1:80", "192.0.2.1:80"},
	 {6, 6},
	 false},
};

START_TEST(test_hash)
{
	struct flow_key keys[2] = {{.protocol = 0}, {.protocol = 0}};
	bool is_same;

	for (int i = 0; i < 2; i++) {
		ck_assert(endpoint_parse(&keys[i].caller, rows[_i].caller[i]));
		ck_assert(
			endpoint_parse(&keys[i].service, rows[_i].service[i]));
		keys[i].protocol = rows[_i].protocol[i];
	}
	is_same = hash128_equal(flow_key_hash(&keys[0], 7),
				flow_key_hash(&keys[1], 7));
	ck_assert_msg(is_same == rows[_i].is_same, "%s", rows[_i].name);
	ck_assert(flow_key_equal(&keys[0], &keys[1]) == rows[_i].is_same);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_key");
	TCase *tcase = tcase_create("hash");

	tcase_add_loop_test(tcase, test_hash, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
