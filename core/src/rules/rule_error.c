#include <core/rule_error.h>

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define UTF8_CONTINUATION_MASK 0xc0
#define UTF8_CONTINUATION 0x80

static bool is_continuation(char byte)
{
	return ((uint8_t)byte & UTF8_CONTINUATION_MASK) == UTF8_CONTINUATION;
}

/* Returns a position's column; any byte but a continuation counts as one. */
static uint32_t column_of(const char *line, const char *at)
{
	uint32_t column = 1;

	for (; line < at; line++)
		column += is_continuation(*line) ? 0 : 1;
	return column;
}

/* Copies text, truncated between characters, with '?' for control bytes. */
static void copy_found(char *found, const char *at, size_t found_bytes)
{
	size_t length = MIN(found_bytes, RULE_ERROR_FOUND_BYTES - 1);

	while (length > 0 && length < found_bytes &&
	       is_continuation(at[length]))
		length--;
	memcpy(found, at, length);
	found[length] = '\0';
	for (size_t i = 0; i < length; i++) {
		if (g_ascii_iscntrl(found[i]))
			found[i] = '?';
	}
}

/*
 * Sets an error: what was found at a position of the line, and what was
 * expected there. The expected text must outlive the error.
 */
void rule_error_set(struct rule_error *error, const char *line, const char *at,
		    size_t found_bytes, const char *expected)
{
	error->column = column_of(line, at);
	error->is_later_form = false;
	error->expected = expected;
	copy_found(error->found, at, found_bytes);
}

/*
 * Writes "expected X, found Y" to text, which has RULE_ERROR_TEXT_BYTES, and
 * returns text.
 */
const char *rule_error_format(const struct rule_error *error, char *text)
{
	if (error->found[0])
		snprintf(text, RULE_ERROR_TEXT_BYTES,
			 "expected %s, found \"%s\"", error->expected,
			 error->found);
	else
		snprintf(text, RULE_ERROR_TEXT_BYTES,
			 "expected %s, found nothing", error->expected);
	return text;
}
