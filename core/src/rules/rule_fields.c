#include "rule_fields.h"

#include <core/zone.h>
#include <string.h>

#define SLOT_COUNT_DEFAULT 3
#define CONNECTION_LIMIT_DEFAULT 2000
#define TIMEOUT_MAX_MS 3600000
#define REQUEST_LIMIT_MAX 1000000
#define ITEM_TEXT_BYTES 128

/* One name=value field and the function that parses its value. */
struct rule_field {
	const char *name;
	bool is_required;
	bool (*parse)(struct rule_parser *parser, struct span value);
};

/* Sets the error; returns false, for the calling function to return. */
bool rule_parser_fail(struct rule_parser *parser, struct span found,
		      const char *expected)
{
	rule_error_set(parser->error, parser->line, found.start, found.length,
		       expected);
	return false;
}

/* Removes an item and its separator from rest; returns the item. */
static struct span next_item(struct span *rest, char separator)
{
	struct span item = *rest;
	const char *end = memchr(rest->start, separator, rest->length);

	if (!end) {
		rest->start += rest->length;
		rest->length = 0;
		return item;
	}
	item.length = (size_t)(end - item.start);
	rest->length -= item.length + 1;
	rest->start = end + 1;
	return item;
}

static uint32_t item_count(struct span value)
{
	uint32_t count = 1;

	for (size_t i = 0; i < value.length; i++)
		count += value.start[i] == ',' ? 1 : 0;
	return count;
}

/* Copies an item and terminates it with a NUL; fails if it is too long. */
static bool copy_item(struct span item, char *text)
{
	if (item.length >= ITEM_TEXT_BYTES)
		return false;
	memcpy(text, item.start, item.length);
	text[item.length] = '\0';
	return true;
}

static bool parse_number(struct span item, guint64 min, guint64 max,
			 uint32_t *number)
{
	char text[ITEM_TEXT_BYTES];
	guint64 value;

	if (!copy_item(item, text) ||
	    !g_ascii_string_to_unsigned(text, 10, min, max, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

static bool parse_endpoint(struct span item, struct endpoint *endpoint)
{
	char text[ITEM_TEXT_BYTES];

	return copy_item(item, text) && endpoint_parse(endpoint, text);
}

static bool has_address(const struct rule *rule, uint32_t count,
			const struct endpoint *address)
{
	for (uint32_t i = 0; i < count; i++) {
		if (endpoint_equal(&rule->addresses[i], address))
			return true;
	}
	return false;
}

static bool parse_addresses(struct rule_parser *parser, struct span value)
{
	struct rule *rule = parser->rule;
	uint32_t count = item_count(value);

	rule->addresses = g_new0(struct endpoint, count);
	for (uint32_t i = 0; i < count; i++) {
		struct span item = next_item(&value, ',');

		if (!parse_endpoint(item, &rule->addresses[i]))
			return rule_parser_fail(parser, item, "address:port");
		if (has_address(rule, i, &rule->addresses[i]))
			return rule_parser_fail(parser, item,
						"each address only once");
		rule->address_count++;
	}
	return true;
}

/* Splits an item at the separator; returns false if there is none. */
static bool split_suffix(struct span *item, char separator, struct span *suffix)
{
	const char *at = memchr(item->start, separator, item->length);

	if (!at)
		return false;
	suffix->start = at + 1;
	suffix->length = item->length - (size_t)(at + 1 - item->start);
	item->length = (size_t)(at - item->start);
	return true;
}

static bool parse_zone(struct rule_parser *parser, struct target *target,
		       struct span item)
{
	char text[ITEM_TEXT_BYTES];

	if (item.length == 0 || item.length >= ZONE_NAME_BYTES ||
	    !copy_item(item, text))
		return rule_parser_fail(parser, item,
					"a zone name of 1 to 31 bytes");
	target->zone_id = zone_id_from_name(text);
	return true;
}

/*
 * Parses "10.1.0.1:8080~2*3@zone": an address and, each optional, ~incarnation,
 * *slots and @zone.
 */
static bool parse_target(struct rule_parser *parser, struct target *target,
			 struct span item)
{
	struct span suffix;

	target->slot_count = SLOT_COUNT_DEFAULT;
	target->connection_limit = CONNECTION_LIMIT_DEFAULT;
	if (split_suffix(&item, '@', &suffix) &&
	    !parse_zone(parser, target, suffix))
		return false;
	if (split_suffix(&item, '*', &suffix) &&
	    !parse_number(suffix, 1, UINT16_MAX, &target->slot_count))
		return rule_parser_fail(parser, suffix,
					"slots from 1 to 65535");
	if (split_suffix(&item, '~', &suffix)) {
		if (!parse_number(suffix, 1, UINT32_MAX, &target->incarnation))
			return rule_parser_fail(
				parser, suffix,
				"an incarnation from 1 to 4294967295");
		parser->has_incarnation = true;
	}
	target->weight = target->slot_count;
	if (!parse_endpoint(item, &target->endpoint))
		return rule_parser_fail(parser, item,
					"address:port of a target");
	return true;
}

static bool has_target(const struct rule *rule, uint32_t count,
		       const struct endpoint *endpoint)
{
	for (uint32_t i = 0; i < count; i++) {
		if (endpoint_equal(&rule->targets[i].endpoint, endpoint))
			return true;
	}
	return false;
}

static bool parse_pool(struct rule_parser *parser, struct span value)
{
	struct rule *rule = parser->rule;
	uint32_t count = item_count(value);

	rule->targets = g_new0(struct target, count);
	for (uint32_t i = 0; i < count; i++) {
		struct span item = next_item(&value, ',');

		if (!parse_target(parser, &rule->targets[i], item))
			return false;
		if (has_target(rule, i, &rule->targets[i].endpoint))
			return rule_parser_fail(parser, item,
						"each target only once");
		rule->target_count++;
	}
	return true;
}

static bool parse_protocol(struct rule_parser *parser, struct span value)
{
	char text[ITEM_TEXT_BYTES];

	for (int i = 0; copy_item(value, text) && i < SERVICE_PROTOCOL_COUNT;
	     i++) {
		enum service_protocol protocol = (enum service_protocol)i;

		if (strcmp(text, service_protocol_name(protocol)) == 0) {
			parser->rule->service.protocol = protocol;
			return true;
		}
	}
	return rule_parser_fail(parser, value, "tcp, udp or http");
}

static bool parse_repeat(struct rule_parser *parser, struct span value)
{
	char text[ITEM_TEXT_BYTES];

	for (int i = 0; copy_item(value, text) && i < REPEATABILITY_COUNT;
	     i++) {
		enum repeatability repeatability = (enum repeatability)i;

		if (strcmp(text, repeatability_name(repeatability)) == 0) {
			parser->rule->service.repeatability = repeatability;
			return true;
		}
	}
	return rule_parser_fail(parser, value, "method, always or never");
}

static bool parse_class(struct rule_parser *parser, struct span value)
{
	char text[ITEM_TEXT_BYTES];

	if (copy_item(value, text) &&
	    work_class_parse(&parser->rule->service.work_class, text))
		return true;
	return rule_parser_fail(parser, value, "urgent, normal or bulk");
}

static bool parse_limit(struct rule_parser *parser, struct span value)
{
	if (parse_number(value, 1, REQUEST_LIMIT_MAX,
			 &parser->rule->service.request_limit))
		return true;
	return rule_parser_fail(parser, value, "a limit from 1 to 1000000");
}

static bool parse_timeout(struct rule_parser *parser, struct span value)
{
	if (parse_number(value, 1, TIMEOUT_MAX_MS,
			 &parser->rule->service.timeout_ms))
		return true;
	return rule_parser_fail(parser, value,
				"milliseconds from 1 to 3600000");
}

/* Sets is_later_form in the error if the syntax version is unsupported. */
static bool parse_form(struct rule_parser *parser, struct span value)
{
	if (!parse_number(value, RULE_FORM_FIRST, UINT16_MAX,
			  &parser->rule->form))
		return rule_parser_fail(parser, value,
					"a syntax version from 1 to 65535");
	if (parser->rule->form <= RULE_FORM_LAST)
		return true;
	rule_parser_fail(parser, value, "syntax version 1 or 2");
	parser->error->is_later_form = true;
	return false;
}

static const struct rule_field fields[] = {
	{"address", true, parse_addresses},   {"pool", true, parse_pool},
	{"protocol", false, parse_protocol},  {"class", false, parse_class},
	{"repeat", false, parse_repeat},      {"limit", false, parse_limit},
	{"timeout_ms", false, parse_timeout}, {"v", false, parse_form},
};

static const struct rule_field *find_field(struct span word, size_t *length)
{
	const char *equals = memchr(word.start, '=', word.length);

	if (!equals)
		return NULL;
	*length = (size_t)(equals - word.start);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (strncmp(fields[i].name, word.start, *length) == 0 &&
		    fields[i].name[*length] == '\0')
			return &fields[i];
	}
	return NULL;
}

/* Parses one name=value word of a line; sets the error on failure. */
bool rule_fields_parse(struct rule_parser *parser, struct span word)
{
	size_t length = 0;
	const struct rule_field *field = find_field(word, &length);
	uint32_t bit;

	if (!field)
		return rule_parser_fail(parser, word,
					"address=, pool=, protocol=, class=, "
					"repeat=, limit=, timeout_ms= or v=");
	bit = 1U << (field - fields);
	if (parser->seen_fields & bit)
		return rule_parser_fail(parser, word, "each field only once");
	parser->seen_fields |= bit;
	word.start += length + 1;
	word.length -= length + 1;
	return field->parse(parser, word);
}

/* Checks for missing fields after all words of a line have been parsed. */
bool rule_fields_check_required(struct rule_parser *parser, struct span content)
{
	struct span end = {content.start + content.length, 0};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (fields[i].is_required && !(parser->seen_fields & (1U << i)))
			return rule_parser_fail(parser, end,
						i == 0 ? "address=" : "pool=");
	}
	if (parser->has_incarnation && parser->rule->form < 2)
		return rule_parser_fail(parser, end,
					"v=2 with incarnations of targets");
	return true;
}
