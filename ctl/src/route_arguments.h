#ifndef ROUTE_ARGUMENTS_H
#define ROUTE_ARGUMENTS_H

#include <core/endpoint.h>

/* The arguments of `shallotctl route`; caller is valid if has_caller. */
struct route_arguments {
	struct endpoint service;
	struct endpoint caller;
	struct endpoint node;
	bool has_caller;
	bool is_json;
	bool is_help;
};

bool route_arguments_parse(struct route_arguments *arguments, int argc,
			   char **argv);
char *route_arguments_path(const struct route_arguments *arguments);

#endif
