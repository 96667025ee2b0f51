#ifndef STORE_OPTIONS_H
#define STORE_OPTIONS_H

#include <core/endpoint.h>

/*
 * The options of commands that use the platform's store, from the command line
 * or the environment variables SHALLOT_STORE and SHALLOT_TOKEN_FILE.
 */
struct store_options {
	struct endpoint server;
	const char *token_file;
	const char *key_prefix;
	uint32_t timeout_ms;
	bool is_json;
};

bool store_options_init(struct store_options *options);
bool store_options_parse(struct store_options *options, int option,
			 const char *value);
const char *store_options_usage(void);

#endif
