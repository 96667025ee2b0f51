#ifndef SOAK_ARGUMENTS_H
#define SOAK_ARGUMENTS_H

#include <glib.h>
#include <soak/soak_run.h>
#include <stdio.h>

/* The parsed command line of shallotctl soak; it owns the strings. */
struct soak_arguments {
	struct soak_options options;
	uint32_t duration_ms;
	char *program;
	char *directory;
	char *schedule_path;
	bool is_replay;
	bool is_directory_given;
};

enum soak_arguments_result {
	SOAK_ARGUMENTS_RUN,
	SOAK_ARGUMENTS_LIST,
	SOAK_ARGUMENTS_HELP,
	SOAK_ARGUMENTS_INVALID,
};

struct soak_arguments *soak_arguments_new(void);
void soak_arguments_free(struct soak_arguments *arguments);
enum soak_arguments_result
soak_arguments_parse(struct soak_arguments *arguments, int argc, char **argv);
bool soak_arguments_make_directory(struct soak_arguments *arguments,
				   GError **error);
void soak_arguments_print_usage(FILE *out);

#endif
