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
	bool (*read)(struct rule_scan *scan, struct span value);
};

/* Sets the fault and returns false, which callers return in turn. */
bool rule_scan_fail(struct rule_scan *scan, struct span found,
		    const char *expected)
{
	rule_fault_set(scan->fault, scan->line, found.start, found.length,
		       expected);
	return false;
}

/* Removes the first item from rest and returns it, without the separator. */
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

/* Copies an item and terminates it with a NUL; false if it is too long. */
static bool copy_item(struct span item, char *text)
{
	if (item.length >= ITEM_TEXT_BYTES)
		return false;
	memcpy(text, item.start, item.length);
	text[item.length] = '\0';
	return true;
}

static bool read_number(struct span item, guint64 min, guint64 max,
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

static bool read_endpoint(struct span item, struct endpoint *endpoint)
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

static bool read_addresses(struct rule_scan *scan, struct span value)
{
	struct rule *rule = scan->rule;
	uint32_t count = item_count(value);

	rule->addresses = g_new0(struct endpoint, count);
	for (uint32_t i = 0; i < count; i++) {
		struct span item = next_item(&value, ',');

		if (!read_endpoint(item, &rule->addresses[i]))
			return rule_scan_fail(scan, item, "address:port");
		if (has_address(rule, i, &rule->addresses[i]))
			return rule_scan_fail(scan, item,
					      "each address only once");
		rule->address_count++;
	}
	return true;
}

/* Splits an item at the separator; false if there is none. */
static bool cut_suffix(struct span *item, char separator, struct span *suffix)
{
	const char *at = memchr(item->start, separator, item->length);

	if (!at)
		return false;
	suffix->start = at + 1;
	suffix->length = item->length - (size_t)(at + 1 - item->start);
	item->length = (size_t)(at - item->start);
	return true;
}

static bool read_zone(struct rule_scan *scan, struct target *target,
		      struct span item)
{
	char text[ITEM_TEXT_BYTES];

	if (item.length == 0 || item.length >= ZONE_NAME_BYTES ||
	    !copy_item(item, text))
		return rule_scan_fail(scan, item,
				      "a zone name of 1 to 31 bytes");
	target->zone_id = zone_id_from_name(text);
	return true;
}

/* Reads "10.1.0.1:8080~2*3@zone"; all but the address is optional. */
static bool read_target(struct rule_scan *scan, struct target *target,
			struct span item)
{
	struct span suffix;

	target->slot_count = SLOT_COUNT_DEFAULT;
	target->connection_limit = CONNECTION_LIMIT_DEFAULT;
	if (cut_suffix(&item, '@', &suffix) && !read_zone(scan, target, suffix))
		return false;
	if (cut_suffix(&item, '*', &suffix) &&
	    !read_number(suffix, 1, UINT16_MAX, &target->slot_count))
		return rule_scan_fail(scan, suffix, "slots from 1 to 65535");
	if (cut_suffix(&item, '~', &suffix)) {
		if (!read_number(suffix, 1, UINT32_MAX, &target->incarnation))
			return rule_scan_fail(scan, suffix,
					      "an incarnation from 1");
		scan->has_incarnation = true;
	}
	target->weight = target->slot_count;
	if (!read_endpoint(item, &target->endpoint))
		return rule_scan_fail(scan, item, "address:port of a target");
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

static bool read_pool(struct rule_scan *scan, struct span value)
{
	struct rule *rule = scan->rule;
	uint32_t count = item_count(value);

	rule->targets = g_new0(struct target, count);
	for (uint32_t i = 0; i < count; i++) {
		struct span item = next_item(&value, ',');

		if (!read_target(scan, &rule->targets[i], item))
			return false;
		if (has_target(rule, i, &rule->targets[i].endpoint))
			return rule_scan_fail(scan, item,
					      "each target only once");
		rule->target_count++;
	}
	return true;
}

static bool read_protocol(struct rule_scan *scan, struct span value)
{
	char text[ITEM_TEXT_BYTES];

	for (int i = 0; copy_item(value, text) && i < SERVICE_PROTOCOL_COUNT;
	     i++) {
		enum service_protocol protocol = (enum service_protocol)i;

		if (strcmp(text, service_protocol_name(protocol)) == 0) {
			scan->rule->service.protocol = protocol;
			return true;
		}
	}
	return rule_scan_fail(scan, value, "tcp, udp or http");
}

static bool read_repeat(struct rule_scan *scan, struct span value)
{
	char text[ITEM_TEXT_BYTES];

	for (int i = 0; copy_item(value, text) && i < REPEATABILITY_COUNT;
	     i++) {
		enum repeatability repeatability = (enum repeatability)i;

		if (strcmp(text, repeatability_name(repeatability)) == 0) {
			scan->rule->service.repeatability = repeatability;
			return true;
		}
	}
	return rule_scan_fail(scan, value, "method, always or never");
}

static bool read_class(struct rule_scan *scan, struct span value)
{
	char text[ITEM_TEXT_BYTES];

	if (copy_item(value, text) &&
	    work_class_parse(&scan->rule->service.work_class, text))
		return true;
	return rule_scan_fail(scan, value, "urgent, normal or bulk");
}

static bool read_limit(struct rule_scan *scan, struct span value)
{
	if (read_number(value, 1, REQUEST_LIMIT_MAX,
			&scan->rule->service.request_limit))
		return true;
	return rule_scan_fail(scan, value, "a limit from 1 to 1000000");
}

static bool read_timeout(struct rule_scan *scan, struct span value)
{
	if (read_number(value, 1, TIMEOUT_MAX_MS,
			&scan->rule->service.timeout_ms))
		return true;
	return rule_scan_fail(scan, value, "milliseconds from 1 to 3600000");
}

/* Marks the fault of an unsupported form as is_later_form. */
static bool read_form(struct rule_scan *scan, struct span value)
{
	if (!read_number(value, RULE_FORM_FIRST, UINT16_MAX, &scan->rule->form))
		return rule_scan_fail(scan, value, "a form number from 1");
	if (scan->rule->form <= RULE_FORM_LAST)
		return true;
	rule_scan_fail(scan, value, "form 1 or 2");
	scan->fault->is_later_form = true;
	return false;
}

static const struct rule_field fields[] = {
	{"address", true, read_addresses},   {"pool", true, read_pool},
	{"protocol", false, read_protocol},  {"class", false, read_class},
	{"repeat", false, read_repeat},	     {"limit", false, read_limit},
	{"timeout_ms", false, read_timeout}, {"v", false, read_form},
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

/* Parses one name=value word of a line; sets the fault on failure. */
bool rule_fields_read(struct rule_scan *scan, struct span word)
{
	size_t length = 0;
	const struct rule_field *field = find_field(word, &length);
	uint32_t bit;

	if (!field)
		return rule_scan_fail(scan, word,
				      "address=, pool=, protocol=, class=, "
				      "repeat=, limit=, timeout_ms= or v=");
	bit = 1U << (field - fields);
	if (scan->seen & bit)
		return rule_scan_fail(scan, word, "each field only once");
	scan->seen |= bit;
	word.start += length + 1;
	word.length -= length + 1;
	return field->read(scan, word);
}

/* Checks for missing fields after all words of a line have been read. */
bool rule_fields_check_required(struct rule_scan *scan, struct span content)
{
	struct span end = {content.start + content.length, 0};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (fields[i].is_required && !(scan->seen & (1U << i)))
			return rule_scan_fail(scan, end,
					      i == 0 ? "address=" : "pool=");
	}
	if (scan->has_incarnation && scan->rule->form < 2)
		return rule_scan_fail(scan, end,
				      "v=2 with incarnations of targets");
	return true;
}
