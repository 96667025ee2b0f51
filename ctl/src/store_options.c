#include "store_options.h"

#include <glib.h>

#define KEY_PREFIX_DEFAULT "/shallotstream"
#define TIMEOUT_DEFAULT_MS 2000
#define PORT_UNSET 0

/*
 * Sets what the environment says. Returns false when SHALLOT_STORE is no
 * address; without it the command line has to name the store.
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

/* Takes one option of getopt_long; returns false when its value is bad. */
bool store_options_take(struct store_options *options, int letter,
			const char *value)
{
	switch (letter) {
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

/* Describes the options for a command's help. */
const char *store_options_usage(void)
{
	return "  -s, --store ADDRESS:PORT  the platform's key-value service; "
	       "else $SHALLOT_STORE\n"
	       "  -t, --token-file FILE     its token; else "
	       "$SHALLOT_TOKEN_FILE\n"
	       "  -p, --key-prefix PREFIX   default /shallotstream\n"
	       "  -j, --json                print one JSON object a line\n";
}
