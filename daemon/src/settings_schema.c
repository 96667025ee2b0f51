#include "settings_schema.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define AT(field) offsetof(struct settings, field)
#define NAME_BYTES_MAX 31
#define FLOW_CAPACITY_MAX 4000000
#define DRAIN_TIMEOUT_MAX_MS 3600000

const struct setting_row settings_rows[] = {
	{"node", "name", SETTING_TEXT, AT(node_name), 1, NAME_BYTES_MAX, true,
	 NULL},
	{"node", "zone", SETTING_TEXT, AT(zone), 1, NAME_BYTES_MAX, true, NULL},
	{"node", "region", SETTING_TEXT, AT(region), 1, NAME_BYTES_MAX, true,
	 NULL},
	{"listen", "packets", SETTING_ENDPOINT, AT(listen_packets), 0, 0, true,
	 NULL},
	{"listen", "control", SETTING_ENDPOINT, AT(listen_control), 0, 0, true,
	 NULL},
	{"listen", "requests", SETTING_ENDPOINT, AT(listen_requests), 0, 0,
	 true, NULL},
	{"listen", "admin", SETTING_ENDPOINT, AT(listen_admin), 0, 0, true,
	 NULL},
	{"rules", "file", SETTING_TEXT, AT(rules_file), 1, 4095, false, NULL},
	{"log", "level", SETTING_LEVEL, AT(log_level), 0, 0, false, "info"},
	{"log", "rate_per_s", SETTING_U32, AT(log_rate_per_s), 1, 1000000,
	 false, "200"},
	{"drain", "timeout_ms", SETTING_U32, AT(drain_timeout_ms), 0,
	 DRAIN_TIMEOUT_MAX_MS, false, "30000"},
	{"flows", "capacity", SETTING_U32, AT(flow_capacity), 1024,
	 FLOW_CAPACITY_MAX, false, "300000"},
	{"flows", "seed", SETTING_U64, AT(flow_seed), 0, UINT64_MAX, false,
	 "0"},
};
const size_t settings_row_count = G_N_ELEMENTS(settings_rows);

static const struct {
	const char *name;
	uint32_t level;
} levels[] = {
	{"error", 3}, {"warning", 4}, {"notice", 5}, {"info", 6}, {"debug", 7},
};

static bool assign_level(uint32_t *slot, const char *value)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(levels[i].name, value) == 0) {
			*slot = levels[i].level;
			return true;
		}
	}
	return false;
}

static bool assign_text(char **slot, const struct setting_row *row,
			const char *value)
{
	size_t length = strlen(value);

	if (length < row->min || length > row->max)
		return false;
	g_free(*slot);
	*slot = g_strdup(value);
	return true;
}

static bool read_number(const struct setting_row *row, const char *value,
			guint64 *number)
{
	return g_ascii_string_to_unsigned(value, 10, row->min, row->max, number,
					  NULL);
}

/* Stores a value; returns false when it is not one that the row allows. */
bool settings_assign(struct settings *settings, const struct setting_row *row,
		     const char *value)
{
	void *slot = (char *)settings + row->offset;
	guint64 number;

	switch (row->kind) {
	case SETTING_TEXT:
		return assign_text(slot, row, value);
	case SETTING_ENDPOINT:
		return endpoint_parse(slot, value);
	case SETTING_LEVEL:
		return assign_level(slot, value);
	case SETTING_U32:
		if (!read_number(row, value, &number))
			return false;
		*(uint32_t *)slot = (uint32_t)number;
		return true;
	case SETTING_U64:
		if (!read_number(row, value, &number))
			return false;
		*(uint64_t *)slot = number;
		return true;
	}
	return false;
}

/* Says in a few words which values the row allows. */
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
	case SETTING_LEVEL:
		snprintf(text, text_bytes,
			 "error, warning, notice, info or debug");
		break;
	case SETTING_U32:
	case SETTING_U64:
		snprintf(text, text_bytes,
			 "a number from %" PRIu64 " to %" PRIu64, row->min,
			 row->max);
		break;
	}
}
