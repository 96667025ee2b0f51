#ifndef SETTINGS_SCHEMA_H
#define SETTINGS_SCHEMA_H

#include <daemon/settings.h>
#include <stdbool.h>
#include <stddef.h>

enum setting_kind {
	SETTING_TEXT,
	SETTING_ENDPOINT,
	SETTING_ENDPOINT_LIST,
	SETTING_U32,
	SETTING_U64,
	/* A decimal number, truncated to an integer. */
	SETTING_RATE,
	/* A decimal number, stored in thousandths. */
	SETTING_MILLI,
	SETTING_LOG_LEVEL,
	SETTING_DELIVERY_MODE,
	/* The key is a service name, and the value its listen address. */
	SETTING_SERVICE_ADDRESS,
};

/* The delivery modes in which a key is required. */
enum setting_required {
	REQUIRED_NEVER,
	REQUIRED_ALWAYS,
	REQUIRED_BY_HOME,
	REQUIRED_BY_TAG,
};

/*
 * Describes one key of a section, or all its keys if key is "*". The value is
 * stored at offset in struct settings. min and max are the limits of a number,
 * or of the length of a text in bytes. A key that is missing gets
 * default_value, or is left zero if that is NULL.
 */
struct setting_row {
	const char *section;
	const char *key;
	enum setting_kind kind;
	size_t offset;
	uint64_t min;
	uint64_t max;
	enum setting_required required;
	const char *default_value;
};

extern const struct setting_row settings_rows[];
extern const size_t settings_row_count;

bool settings_assign(struct settings *settings, const struct setting_row *row,
		     const char *key, const char *value);
bool settings_row_equal(const struct settings *a, const struct settings *b,
			const struct setting_row *row);
void settings_describe(const struct setting_row *row, char *text,
		       size_t text_bytes);

#endif
