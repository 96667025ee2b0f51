#ifndef CORE_RULE_H
#define CORE_RULE_H

#include <core/rule_error.h>
#include <core/service.h>
#include <glib.h>

/*
 * The syntax versions ("forms") of a rule line, written as v=N. Version 2 adds
 * incarnations of targets.
 */
#define RULE_FORM_FIRST 1
#define RULE_FORM_LAST 2

#define RULE_LINE_BYTES_MAX 65536

/*
 * One parsed line of the rules file: a service, its addresses and its pool of
 * targets. The rule owns its arrays and strings; each target has the service's
 * id and an id of its own. form is the syntax version of the line. generation
 * is the revision of the configuration at which the line last changed, or 0 if
 * unknown.
 */
struct rule {
	struct service service;
	uint32_t form;
	uint64_t generation;
	uint32_t address_count;
	struct endpoint *addresses;
	uint32_t target_count;
	struct target *targets;
	char *comment;
};

struct rule *rule_parse_bytes(const char *line, size_t length_bytes,
			      struct rule_error *error);
struct rule *rule_parse(const char *line, GError **error);
struct rule *rule_copy(const struct rule *rule);
void rule_free(struct rule *rule);

#endif
