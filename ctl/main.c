#include <ctl/command.h>
#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

static const struct command *const commands[] = {
	&bench_command,	 &check_command, &demo_command, &explain_command,
	&load_command,	 &route_command, &soak_command, &stand_in_command,
	&status_command, &sync_command,
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static const struct option long_options[] = {
	{"help", no_argument, NULL, 'h'},
	{"version", no_argument, NULL, 'V'},
	{NULL, 0, NULL, 0},
};

static void print_usage(FILE *out)
{
	fputs("Usage: shallotctl COMMAND [OPTIONS]\n"
	      "Checks and syncs rules, shows their status, explains routes, "
	      "generates\nload, and runs benchmarks and soak tests.\n\n",
	      out);
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-9s %s\n", commands[i]->name,
			commands[i]->summary);
	fputs("\nExit codes: 0 done, 1 failed, 2 usage, 65 bad data, "
	      "69 platform unavailable.\n",
	      out);
}

static int run_command(int argc, char **argv)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(commands[i]->name, argv[0]) == 0) {
			/* 0 makes getopt_long start over for the subcommand. */
			optind = 0;
			return commands[i]->run(argc, argv);
		}
	}
	fprintf(stderr, "shallotctl: unknown command: %s\n", argv[0]);
	print_usage(stderr);
	return EXIT_CODE_USAGE;
}

int main(int argc, char **argv)
{
	switch (getopt_long(argc, argv, "+hV", long_options, NULL)) {
	case 'h':
		print_usage(stdout);
		return EXIT_CODE_DONE;
	case 'V':
		puts("shallotctl " SHALLOT_VERSION);
		return EXIT_CODE_DONE;
	case -1:
		break;
	default:
		print_usage(stderr);
		return EXIT_CODE_USAGE;
	}
	if (optind >= argc) {
		print_usage(stderr);
		return EXIT_CODE_USAGE;
	}
	return run_command(argc - optind, argv + optind);
}
