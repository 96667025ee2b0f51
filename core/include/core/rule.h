#ifndef CORE_RULE_H
#define CORE_RULE_H

#include <core/service.h>
#include <glib.h>

/*
 * One accepted line of the rules file. The rule owns its arrays and strings;
 * targets carry the service's id, and ids of their own.
 */
struct rule {
	struct service service;
	/* The revision at which the line last changed; 0 when not known. */
	uint64_t generation;
	uint32_t address_count;
	struct endpoint *addresses;
	uint32_t target_count;
	struct target *targets;
	char *comment;
};

struct rule *rule_parse(const char *line, GError **error);
struct rule *rule_copy(const struct rule *rule);
void rule_free(struct rule *rule);

#endif
