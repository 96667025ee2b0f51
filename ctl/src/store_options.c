#include "store_options.h"

#include <glib.h>

#define KEY_PREFIX_DEFAULT "/shallotstream"
#define TIMEOUT_DEFAULT_MS 2000
#define PORT_UNSET 0

/*
 * Sets defaults and the values of environment variables. Returns false if
 * SHALLOT_STORE is invalid; if it is unset, --store is required.
 */
bool store_options_init(struct store_options *options)
{
	const char *server = g_getenv("SHALLOT_STORE");

	*options = (struct store_options){
		.token_file = g_getenv("SHALLOT_TOKEN_FILE"),
		.key_prefix = KEY_PREFIX_DEFAULT,
		.timeout_ms = TIMEOUT_DEFAULT_MS,
		.server = {.port = PORT_UNSET},
	};
	return !server || endpoint_parse(&options->server, server);
}

/* Parses one option of getopt_long; returns false if it is invalid. */
bool store_options_parse(struct store_options *options, int option,
			 const char *value)
{
	switch (option) {
	case 's':
		return endpoint_parse(&options->server, value);
	case 't':
		options->token_file = value;
		return true;
	case 'p':
		options->key_prefix = value;
		return true;
	case 'j':
		options->is_json = true;
		return true;
	default:
		return false;
	}
}

/* Returns the usage text of the options. */
const char *store_options_usage(void)
{
	return "  -s, --store ADDRESS:PORT  the platform's key-value store;\n"
	       "                            default $SHALLOT_STORE\n"
	       "  -t, --token-file FILE     file with its token; default "
	       "$SHALLOT_TOKEN_FILE\n"
	       "  -p, --key-prefix PREFIX   prefix of all keys; default "
	       "/shallotstream\n"
	       "  -j, --json                print one JSON object per line\n";
}
