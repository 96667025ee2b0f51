#ifndef LOAD_ARGUMENTS_H
#define LOAD_ARGUMENTS_H

#include <ctl/load_task.h>

#define LOAD_CLASS_COUNT_MAX 16

/* The parsed command line of shallotctl load; it owns the strings. */
struct load_arguments {
	struct load_options options;
	struct endpoint node;
	struct load_class classes[LOAD_CLASS_COUNT_MAX];
	char *host;
	char *path;
	char *class_names[LOAD_CLASS_COUNT_MAX];
	bool is_any_address_allowed;
};

enum load_arguments_result {
	LOAD_ARGUMENTS_OK,
	LOAD_ARGUMENTS_INVALID,
	LOAD_ARGUMENTS_HELP,
};

struct load_arguments *load_arguments_new(void);
void load_arguments_free(struct load_arguments *arguments);
enum load_arguments_result
load_arguments_parse(struct load_arguments *arguments, int argc, char **argv);

#endif
