#ifndef DAEMON_PLATFORM_SETTINGS_H
#define DAEMON_PLATFORM_SETTINGS_H

#include <core/endpoint.h>

/*
 * Access to the platform's key-value store. The port of store is 0 if there is
 * no store. token_file contains the access token, which is never logged.
 * key_prefix precedes the keys of the rules, the roster and the zone reports.
 */
struct platform_settings {
	struct endpoint store;
	char *token_file;
	char *key_prefix;
	uint32_t timeout_ms;
};

#endif
