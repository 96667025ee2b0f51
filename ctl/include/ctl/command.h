#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

/* Exit codes of shallotctl; those above 2 are the codes of sysexits(3). */
enum exit_code {
	EXIT_CODE_DONE = 0,
	EXIT_CODE_FAILED = 1,
	EXIT_CODE_USAGE = 2,
	EXIT_CODE_BAD_DATA = 65,
	EXIT_CODE_UNAVAILABLE = 69,
};

/* A subcommand; run gets argv from the subcommand's name on. */
struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

extern const struct command bench_command;
extern const struct command check_command;
extern const struct command demo_command;
extern const struct command explain_command;
extern const struct command load_command;
extern const struct command route_command;
extern const struct command soak_command;
extern const struct command stand_in_command;
extern const struct command status_command;
extern const struct command sync_command;

#endif
