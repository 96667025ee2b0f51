#ifndef DAEMON_PLATFORM_SETTINGS_H
#define DAEMON_PLATFORM_SETTINGS_H

#include <core/endpoint.h>

/*
 * Where the platform's store is; port 0 is none. The token file holds the
 * store's token, which is read from there and never logged.
 */
struct platform_settings {
	struct endpoint store;
	char *token_file;
	char *key_prefix;
	uint32_t timeout_ms;
};

#endif
