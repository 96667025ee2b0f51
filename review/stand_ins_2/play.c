#include "cases.h"

#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	const char *rule;
	bool (*run)(struct world *world);
} cases[] = {
	{"late-echo", "FLOW", case_late_echo},
	{"quiet-zone", "FLOW", case_quiet_zone},
	{"moved-route", "CONFIG", case_moved_route},
	{"nine-back-ends", "CONFIG", case_back_ends},
};

/* Adds the nodes of the arguments, each NAME:zone-LETTER, and starts them. */
static bool start_nodes(struct world *world, int count, char **arguments)
{
	for (int i = 0; i < count; i++) {
		char *zone = strrchr(arguments[i], '-');

		*strchr(arguments[i], ':') = '\0';
		node_add(world, arguments[i], zone[1] - 'a');
		if (!node_start(world, &world->nodes[i]))
			return false;
	}
	return nodes_wait_ready(world, 10000);
}

/* Arguments: CASE DAEMON FOLDER PORT NET NODE:ZONE... */
int main(int argc, char **argv)
{
	static struct world the_world;
	struct world *world = &the_world;

	if (argc < 7)
		return 2;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (strcmp(cases[i].name, argv[1]) != 0)
			continue;
		if (!world_open(world, argv[2], argv[3],
				(uint16_t)strtoul(argv[4], NULL, 10),
				(int)strtol(argv[5], NULL, 10)) ||
		    !case_prepare(world, argv[1]) ||
		    !start_nodes(world, argc - 6, argv + 6) ||
		    !cases[i].run(world)) {
			world_log(world, "not_run");
			(void)world_close(world, cases[i].rule);
			return 2;
		}
		return world_close(world, cases[i].rule);
	}
	return 2;
}
