#ifndef CORE_SERVICE_H
#define CORE_SERVICE_H

#include <core/target.h>
#include <core/work_class.h>

#define SERVICE_NAME_BYTES 64
#define SERVICE_NONE 0

enum service_protocol {
	SERVICE_TCP,
	SERVICE_UDP,
	SERVICE_HTTP,
	SERVICE_PROTOCOL_COUNT,
};

/*
 * Which requests may be sent to a target more than once: those with a safe
 * method, all, or none.
 */
enum repeatability {
	REPEAT_BY_METHOD,
	REPEAT_ALWAYS,
	REPEAT_NEVER,
	REPEATABILITY_COUNT,
};

/* A service as configured by its rule. The id is a hash of the name. */
struct service {
	uint32_t service_id;
	char name[SERVICE_NAME_BYTES];
	enum service_protocol protocol;
	enum work_class work_class;
	enum repeatability repeatability;
	uint32_t request_limit;
	uint32_t timeout_ms;
};

uint32_t service_id_from_name(const char *name);
const char *service_protocol_name(enum service_protocol protocol);
const char *repeatability_name(enum repeatability repeatability);

#endif
