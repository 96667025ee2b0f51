#include <core/rule.h>

#include <core/core_error.h>
#include <core/zone.h>
#include <string.h>

#define SLOT_COUNT_DEFAULT 3
#define CONNECTION_LIMIT_DEFAULT 2000
#define TIMEOUT_DEFAULT_MS 10000

/* One name=value field of a line and the function that reads its value. */
struct rule_field {
	const char *name;
	bool (*read)(struct rule *rule, const char *value);
};

static bool read_addresses(struct rule *rule, const char *value)
{
	char **parts = g_strsplit(value, ",", -1);
	uint32_t count = g_strv_length(parts);
	bool valid = count > 0;

	rule->addresses = g_new0(struct endpoint, count);
	for (uint32_t i = 0; valid && i < count; i++)
		valid = endpoint_parse(&rule->addresses[i], parts[i]);
	rule->address_count = count;
	g_strfreev(parts);
	return valid;
}

/* Reads "10.1.0.1:8080*3@zone"; slots and zone may be left out. */
static bool read_target(struct target *target, char *text)
{
	char *zone = strchr(text, '@');
	char *slots;
	guint64 slot_count = SLOT_COUNT_DEFAULT;

	if (zone) {
		*zone++ = '\0';
		target->zone_id = zone_id_from_name(zone);
	}
	slots = strchr(text, '*');
	if (slots) {
		*slots++ = '\0';
		if (!g_ascii_string_to_unsigned(slots, 10, 1, UINT16_MAX,
						&slot_count, NULL))
			return false;
	}
	target->slot_count = (uint32_t)slot_count;
	target->weight = (uint32_t)slot_count;
	target->connection_limit = CONNECTION_LIMIT_DEFAULT;
	return endpoint_parse(&target->endpoint, text);
}

static bool read_pool(struct rule *rule, const char *value)
{
	char **parts = g_strsplit(value, ",", -1);
	uint32_t count = g_strv_length(parts);
	bool valid = count > 0;

	rule->targets = g_new0(struct target, count);
	for (uint32_t i = 0; valid && i < count; i++)
		valid = read_target(&rule->targets[i], parts[i]);
	rule->target_count = count;
	g_strfreev(parts);
	return valid;
}

static bool read_protocol(struct rule *rule, const char *value)
{
	for (int i = 0; i < SERVICE_PROTOCOL_COUNT; i++) {
		enum service_protocol protocol = (enum service_protocol)i;

		if (strcmp(value, service_protocol_name(protocol)) == 0) {
			rule->service.protocol = protocol;
			return true;
		}
	}
	return false;
}

static bool read_repeat(struct rule *rule, const char *value)
{
	for (int i = 0; i < REPEATABILITY_COUNT; i++) {
		enum repeatability repeatability = (enum repeatability)i;

		if (strcmp(value, repeatability_name(repeatability)) == 0) {
			rule->service.repeatability = repeatability;
			return true;
		}
	}
	return false;
}

static bool read_class(struct rule *rule, const char *value)
{
	return work_class_parse(&rule->service.work_class, value);
}

static const struct rule_field fields[] = {
	{"address", read_addresses}, {"pool", read_pool},
	{"protocol", read_protocol}, {"class", read_class},
	{"repeat", read_repeat},
};

static bool read_field(struct rule *rule, const char *word, GError **error)
{
	const char *equals = strchr(word, '=');

	for (size_t i = 0; equals && i < G_N_ELEMENTS(fields); i++) {
		size_t length = (size_t)(equals - word);

		if (strncmp(fields[i].name, word, length) != 0 ||
		    fields[i].name[length] != '\0')
			continue;
		if (fields[i].read(rule, equals + 1))
			return true;
		g_set_error(error, CORE_ERROR, CORE_ERROR_RULE,
			    "bad value for %s: %s", fields[i].name, equals + 1);
		return false;
	}
	g_set_error(error, CORE_ERROR, CORE_ERROR_RULE, "unknown field: %s",
		    word);
	return false;
}

static bool read_name(struct rule *rule, const char *name, GError **error)
{
	if (!*name || strlen(name) >= SERVICE_NAME_BYTES) {
		g_set_error_literal(error, CORE_ERROR, CORE_ERROR_RULE,
				    "expected a service name of 1 to 63 bytes");
		return false;
	}
	g_strlcpy(rule->service.name, name, SERVICE_NAME_BYTES);
	rule->service.service_id = service_id_from_name(name);
	return true;
}

static bool read_words(struct rule *rule, char **words, GError **error)
{
	if (!words[0] || !read_name(rule, words[0], error))
		return false;
	for (char **word = words + 1; *word; word++) {
		if (**word && !read_field(rule, *word, error))
			return false;
	}
	if (rule->address_count && rule->target_count)
		return true;
	g_set_error_literal(error, CORE_ERROR, CORE_ERROR_RULE,
			    "expected address= and pool=");
	return false;
}

static void adopt_targets(struct rule *rule)
{
	for (uint32_t i = 0; i < rule->target_count; i++) {
		rule->targets[i].service_id = rule->service.service_id;
		rule->targets[i].target_id = target_id_of(&rule->targets[i]);
	}
}

/*
 * Reads one rule line: a service name, fields, and behind '#' the comment
 * that says who asked for it. The caller frees the result with rule_free.
 * Fails with CORE_ERROR_RULE.
 */
struct rule *rule_parse(const char *line, GError **error)
{
	const char *hash = strchr(line, '#');
	struct rule *rule;
	char *head;
	char **words;
	bool valid;

	if (!hash || hash[1 + strspn(hash + 1, " \t")] == '\0') {
		g_set_error_literal(error, CORE_ERROR, CORE_ERROR_RULE,
				    "expected a comment naming who asked");
		return NULL;
	}
	rule = g_new0(struct rule, 1);
	rule->service.timeout_ms = TIMEOUT_DEFAULT_MS;
	rule->service.work_class = CLASS_NORMAL;
	rule->comment = g_strstrip(g_strdup(hash + 1));
	head = g_strstrip(g_strndup(line, (gsize)(hash - line)));
	words = g_strsplit_set(head, " \t", -1);
	valid = read_words(rule, words, error);
	g_strfreev(words);
	g_free(head);
	if (!valid) {
		rule_free(rule);
		return NULL;
	}
	adopt_targets(rule);
	return rule;
}

/* Makes a deep copy; the caller frees it with rule_free. */
struct rule *rule_copy(const struct rule *rule)
{
	struct rule *copy = g_memdup2(rule, sizeof(*rule));

	copy->addresses =
		g_memdup2(rule->addresses,
			  rule->address_count * sizeof(*rule->addresses));
	copy->targets = g_memdup2(rule->targets,
				  rule->target_count * sizeof(*rule->targets));
	copy->comment = g_strdup(rule->comment);
	return copy;
}

/* Frees a rule and all it owns; NULL is allowed. */
void rule_free(struct rule *rule)
{
	if (!rule)
		return;
	g_free(rule->addresses);
	g_free(rule->targets);
	g_free(rule->comment);
	g_free(rule);
}
