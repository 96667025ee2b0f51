#include "settings_schema.h"

#include <core/endpoint_list.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define OFFSET_OF(field) offsetof(struct settings, field)
#define NAME_BYTES_MAX 31
#define FLOW_CAPACITY_MAX 4000000
#define MILLI_PER_UNIT 1000
#define DRAIN_TIMEOUT_MS_MAX 3600000

const struct setting_row settings_rows[] = {
	{"node", "name", SETTING_TEXT, OFFSET_OF(node_name), 1, NAME_BYTES_MAX,
	 REQUIRED_ALWAYS, NULL},
	{"node", "zone", SETTING_TEXT, OFFSET_OF(zone), 1, NAME_BYTES_MAX,
	 REQUIRED_ALWAYS, NULL},
	{"node", "region", SETTING_TEXT, OFFSET_OF(region), 1, NAME_BYTES_MAX,
	 REQUIRED_ALWAYS, NULL},
	{"listen", "packets", SETTING_ENDPOINT, OFFSET_OF(listen_packets), 0, 0,
	 REQUIRED_ALWAYS, NULL},
	{"listen", "control", SETTING_ENDPOINT, OFFSET_OF(listen_control), 0, 0,
	 REQUIRED_BY_HOME, NULL},
	{"listen", "requests", SETTING_ENDPOINT, OFFSET_OF(listen_requests), 0,
	 0, REQUIRED_BY_HOME, NULL},
	{"listen", "admin", SETTING_ENDPOINT, OFFSET_OF(listen_admin), 0, 0,
	 REQUIRED_ALWAYS, NULL},
	{"listen", "peers", SETTING_ENDPOINT, OFFSET_OF(relay.listen_peers), 0,
	 0, REQUIRED_BY_TAG, NULL},
	{"listen", "metrics", SETTING_ENDPOINT, OFFSET_OF(listen_metrics), 0, 0,
	 REQUIRED_NEVER, NULL},
	{"delivery", "mode", SETTING_DELIVERY_MODE, OFFSET_OF(relay.mode), 0, 0,
	 REQUIRED_NEVER, "home"},
	{"peers", "seeds", SETTING_ENDPOINT_LIST, OFFSET_OF(relay.seeds), 0,
	 4095, REQUIRED_NEVER, NULL},
	{"peers", "link_mbps", SETTING_RATE, OFFSET_OF(relay.link_mbps), 0,
	 1000000, REQUIRED_NEVER, "0"},
	{"warmup", "factor", SETTING_MILLI,
	 OFFSET_OF(relay.warmup_factor_milli), 1, 1000, REQUIRED_NEVER, "1"},
	{"warmup", "burst", SETTING_MILLI, OFFSET_OF(relay.warmup_burst_milli),
	 0, 100000, REQUIRED_NEVER, "0"},
	{"services", "*", SETTING_SERVICE_ADDRESS, OFFSET_OF(requests), 0, 0,
	 REQUIRED_NEVER, NULL},
	{"requests", "connection_limit", SETTING_U32,
	 OFFSET_OF(requests.connection_limit), 1, 100000, REQUIRED_NEVER,
	 "4000"},
	{"requests", "request_limit", SETTING_U32,
	 OFFSET_OF(requests.request_limit), 1, 100000, REQUIRED_NEVER, "2000"},
	{"requests", "queue_limit", SETTING_U32,
	 OFFSET_OF(requests.queue_limit), 0, 100000, REQUIRED_NEVER, "1000"},
	{"requests", "header_bytes", SETTING_U32,
	 OFFSET_OF(requests.header_bytes), 1024, 1048576, REQUIRED_NEVER,
	 "16384"},
	{"requests", "body_bytes", SETTING_U32, OFFSET_OF(requests.body_bytes),
	 0, 67108864, REQUIRED_NEVER, "1048576"},
	{"requests", "buffered_bytes", SETTING_U64,
	 OFFSET_OF(requests.buffered_bytes), 65536, 1ULL << 40, REQUIRED_NEVER,
	 "67108864"},
	{"requests", "idle_timeout_ms", SETTING_U32,
	 OFFSET_OF(requests.idle_timeout_ms), 10, 3600000, REQUIRED_NEVER,
	 "60000"},
	{"requests", "read_timeout_ms", SETTING_U32,
	 OFFSET_OF(requests.read_timeout_ms), 10, 3600000, REQUIRED_NEVER,
	 "15000"},
	{"requests", "stall_timeout_ms", SETTING_U32,
	 OFFSET_OF(requests.stall_timeout_ms), 10, 3600000, REQUIRED_NEVER,
	 "15000"},
	{"requests", "answer_timeout_ms", SETTING_U32,
	 OFFSET_OF(requests.answer_timeout_ms), 10, 86400000, REQUIRED_NEVER,
	 "3600000"},
	{"requests", "connect_timeout_ms", SETTING_U32,
	 OFFSET_OF(requests.connect_timeout_ms), 10, 60000, REQUIRED_NEVER,
	 "1000"},
	{"rules", "file", SETTING_TEXT, OFFSET_OF(rules_file), 1, 4095,
	 REQUIRED_NEVER, NULL},
	{"log", "level", SETTING_LOG_LEVEL, OFFSET_OF(log_level), 0, 0,
	 REQUIRED_NEVER, "info"},
	{"log", "rate_per_s", SETTING_U32, OFFSET_OF(log_rate_per_s), 1,
	 1000000, REQUIRED_NEVER, "200"},
	{"drain", "timeout_ms", SETTING_U32, OFFSET_OF(drain_timeout_ms), 0,
	 DRAIN_TIMEOUT_MS_MAX, REQUIRED_NEVER, "30000"},
	{"flows", "capacity", SETTING_U32, OFFSET_OF(flow_capacity), 1024,
	 FLOW_CAPACITY_MAX, REQUIRED_NEVER, "300000"},
	{"flows", "seed", SETTING_U64, OFFSET_OF(flow_seed), 0, UINT64_MAX,
	 REQUIRED_NEVER, "0"},
	{"flows", "reuse_after_s", SETTING_MILLI,
	 OFFSET_OF(relay.reuse_after_ms), 0, 3600, REQUIRED_NEVER, "2"},
	{"platform", "store", SETTING_ENDPOINT, OFFSET_OF(platform.store), 0, 0,
	 REQUIRED_BY_TAG, NULL},
	{"platform", "token_file", SETTING_TEXT, OFFSET_OF(platform.token_file),
	 1, 4095, REQUIRED_NEVER, NULL},
	{"platform", "key_prefix", SETTING_TEXT, OFFSET_OF(platform.key_prefix),
	 1, 255, REQUIRED_NEVER, "/shallotstream"},
	{"platform", "timeout_ms", SETTING_U32, OFFSET_OF(platform.timeout_ms),
	 10, 60000, REQUIRED_NEVER, "2000"},
	{"members", "seeds", SETTING_ENDPOINT_LIST, OFFSET_OF(members_seeds), 1,
	 4095, REQUIRED_NEVER, NULL},
	{"members", "key_file", SETTING_TEXT, OFFSET_OF(members_key_file), 1,
	 4095, REQUIRED_NEVER, NULL},
	{"members", "interval_ms", SETTING_U32, OFFSET_OF(members_interval_ms),
	 100, 60000, REQUIRED_NEVER, "1000"},
	{"members", "bytes_per_s", SETTING_U32, OFFSET_OF(members_bytes_per_s),
	 1000, 1000000000, REQUIRED_NEVER, "14000"},
};
const size_t settings_row_count = G_N_ELEMENTS(settings_rows);

static const struct {
	const char *name;
	uint32_t level;
} log_levels[] = {
	{"error", 3}, {"warning", 4}, {"notice", 5}, {"info", 6}, {"debug", 7},
};

static bool assign_log_level(uint32_t *dest, const char *value)
{
	for (size_t i = 0; i < G_N_ELEMENTS(log_levels); i++) {
		if (strcmp(log_levels[i].name, value) == 0) {
			*dest = log_levels[i].level;
			return true;
		}
	}
	return false;
}

static bool assign_text(char **dest, const struct setting_row *row,
			const char *value)
{
	size_t length = strlen(value);

	if (length < row->min || length > row->max)
		return false;
	g_free(*dest);
	*dest = g_strdup(value);
	return true;
}

static const char *const delivery_mode_names[] = {
	[DELIVERY_BY_HOME] = "home",
	[DELIVERY_BY_TAG] = "tag",
};

static bool assign_delivery_mode(enum delivery_mode *dest, const char *value)
{
	for (size_t i = 0; i < G_N_ELEMENTS(delivery_mode_names); i++) {
		if (strcmp(delivery_mode_names[i], value) == 0) {
			*dest = (enum delivery_mode)i;
			return true;
		}
	}
	return false;
}

/* Validates the list but stores its text; the task that uses it parses it. */
static bool assign_endpoint_list(char **dest, const struct setting_row *row,
				 const char *value)
{
	GArray *endpoints;

	if (*value == '\0')
		return assign_text(dest, row, value);
	endpoints = endpoint_list_parse(value);
	if (!endpoints)
		return false;
	g_array_free(endpoints, TRUE);
	return assign_text(dest, row, value);
}

static bool read_number(const struct setting_row *row, const char *value,
			guint64 *number)
{
	return g_ascii_string_to_unsigned(value, 10, row->min, row->max, number,
					  NULL);
}

/* Stores a decimal number as a whole number of units_per_1, truncated. */
static bool assign_decimal(uint32_t *dest, const struct setting_row *row,
			   const char *value, uint32_t units_per_1)
{
	char *end;
	double number = g_ascii_strtod(value, &end);

	if (end == value || *end != '\0' || !(number >= (double)row->min) ||
	    !(number <= (double)row->max))
		return false;
	*dest = (uint32_t)(number * units_per_1);
	return true;
}

/* Adds the listen address of a service; rejects a name that occurs twice. */
static bool add_service_address(struct request_settings *requests,
				const char *name, const char *value)
{
	struct service_address *listen =
		&requests->service_addresses[requests->service_address_count];

	if (requests->service_address_count >= SERVICE_ADDRESS_COUNT_MAX ||
	    *name == '\0' || strlen(name) >= SERVICE_NAME_BYTES)
		return false;
	for (uint32_t i = 0; i < requests->service_address_count; i++) {
		if (strcmp(requests->service_addresses[i].name, name) == 0)
			return false;
	}
	g_strlcpy(listen->name, name, SERVICE_NAME_BYTES);
	if (!endpoint_parse(&listen->endpoint, value))
		return false;
	requests->service_address_count++;
	return true;
}

/*
 * Parses a value and stores it in the field of its row. Returns false if the
 * row does not allow the value.
 */
bool settings_assign(struct settings *settings, const struct setting_row *row,
		     const char *key, const char *value)
{
	void *dest = (char *)settings + row->offset;
	guint64 number;

	switch (row->kind) {
	case SETTING_TEXT:
		return assign_text(dest, row, value);
	case SETTING_ENDPOINT:
		return endpoint_parse(dest, value);
	case SETTING_ENDPOINT_LIST:
		return assign_endpoint_list(dest, row, value);
	case SETTING_LOG_LEVEL:
		return assign_log_level(dest, value);
	case SETTING_DELIVERY_MODE:
		return assign_delivery_mode(dest, value);
	case SETTING_U32:
		if (!read_number(row, value, &number))
			return false;
		*(uint32_t *)dest = (uint32_t)number;
		return true;
	case SETTING_U64:
		if (!read_number(row, value, &number))
			return false;
		*(uint64_t *)dest = number;
		return true;
	case SETTING_RATE:
		return assign_decimal(dest, row, value, 1);
	case SETTING_MILLI:
		return assign_decimal(dest, row, value, MILLI_PER_UNIT);
	case SETTING_SERVICE_ADDRESS:
		return add_service_address(dest, key, value);
	}
	return false;
}

static bool service_addresses_equal(const struct request_settings *a,
				    const struct request_settings *b)
{
	if (a->service_address_count != b->service_address_count)
		return false;
	for (uint32_t i = 0; i < a->service_address_count; i++) {
		if (strcmp(a->service_addresses[i].name,
			   b->service_addresses[i].name) != 0 ||
		    !endpoint_equal(&a->service_addresses[i].endpoint,
				    &b->service_addresses[i].endpoint))
			return false;
	}
	return true;
}

/* Returns whether the field of a row has the same value in both settings. */
bool settings_row_equal(const struct settings *a, const struct settings *b,
			const struct setting_row *row)
{
	const void *left = (const char *)a + row->offset;
	const void *right = (const char *)b + row->offset;

	switch (row->kind) {
	case SETTING_TEXT:
	case SETTING_ENDPOINT_LIST:
		return g_strcmp0(*(char *const *)left, *(char *const *)right) ==
		       0;
	case SETTING_ENDPOINT:
		return endpoint_equal(left, right);
	case SETTING_DELIVERY_MODE:
		return *(const enum delivery_mode *)left ==
		       *(const enum delivery_mode *)right;
	case SETTING_LOG_LEVEL:
	case SETTING_RATE:
	case SETTING_MILLI:
	case SETTING_U32:
		return *(const uint32_t *)left == *(const uint32_t *)right;
	case SETTING_U64:
		return *(const uint64_t *)left == *(const uint64_t *)right;
	case SETTING_SERVICE_ADDRESS:
		return service_addresses_equal(left, right);
	}
	return false;
}

/* Writes a short description of the values that the row allows. */
void settings_describe(const struct setting_row *row, char *text,
		       size_t text_bytes)
{
	switch (row->kind) {
	case SETTING_TEXT:
		snprintf(text, text_bytes,
			 "text of %" PRIu64 " to %" PRIu64 " bytes", row->min,
			 row->max);
		break;
	case SETTING_ENDPOINT:
		snprintf(text, text_bytes, "address:port");
		break;
	case SETTING_ENDPOINT_LIST:
		snprintf(text, text_bytes, "comma-separated address:port");
		break;
	case SETTING_LOG_LEVEL:
		snprintf(text, text_bytes,
			 "error, warning, notice, info or debug");
		break;
	case SETTING_DELIVERY_MODE:
		snprintf(text, text_bytes, "home or tag");
		break;
	case SETTING_SERVICE_ADDRESS:
		snprintf(text, text_bytes,
			 "a service name, only once, with its address:port");
		break;
	case SETTING_RATE:
	case SETTING_MILLI:
	case SETTING_U32:
	case SETTING_U64:
		snprintf(text, text_bytes,
			 "a number from %" PRIu64 " to %" PRIu64, row->min,
			 row->max);
		break;
	}
}
