#ifndef DAEMON_PLATFORM_SETTINGS_H
#define DAEMON_PLATFORM_SETTINGS_H

#include <core/endpoint.h>

/*
 * The address of the platform's store, with port 0 if there is none. The token
 * file holds the store's access token, which is never logged.
 */
struct platform_settings {
	struct endpoint store;
	char *token_file;
	char *key_prefix;
	uint32_t timeout_ms;
};

#endif
