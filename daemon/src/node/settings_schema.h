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
	/* A rate that may have a fraction, which is cut off. */
	SETTING_RATE,
	SETTING_LEVEL,
	SETTING_DELIVERY,
	/* Any key: the name of a service, with its address as the value. */
	SETTING_SERVICE_LISTEN,
};

/* In which mode of delivery a key has to be there. */
enum setting_need {
	NEED_NEVER,
	NEED_ALWAYS,
	NEED_BY_HOME,
	NEED_BY_TAG,
};

/* One key, or "*" for any: where its value goes and which values are allowed.
 */
struct setting_row {
	const char *section;
	const char *key;
	enum setting_kind kind;
	size_t offset;
	uint64_t min;
	uint64_t max;
	enum setting_need need;
	const char *preset;
};

extern const struct setting_row settings_rows[];
extern const size_t settings_row_count;

bool settings_assign(struct settings *settings, const struct setting_row *row,
		     const char *key, const char *value);
bool settings_is_same(const struct settings *a, const struct settings *b,
		      const struct setting_row *row);
void settings_describe(const struct setting_row *row, char *text,
		       size_t text_bytes);

#endif
