#include <core/rule_fault.h>

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define UTF8_CONTINUATION_MASK 0xc0
#define UTF8_CONTINUATION 0x80

static bool is_continuation(char byte)
{
	return ((uint8_t)byte & UTF8_CONTINUATION_MASK) == UTF8_CONTINUATION;
}

/* Returns the column of a position; each invalid lead byte counts as one. */
static uint32_t column_of(const char *line, const char *at)
{
	uint32_t column = 1;

	for (; line < at; line++)
		column += is_continuation(*line) ? 0 : 1;
	return column;
}

/* Copies text, cut at a character boundary, with '?' for control bytes. */
static void copy_found(char *found, const char *at, size_t found_bytes)
{
	size_t length = MIN(found_bytes, RULE_FAULT_FOUND_BYTES - 1);

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
 * Describes a syntax error: what was found at a position of the line, and what
 * was expected there. The expected text must outlive the fault.
 */
void rule_fault_set(struct rule_fault *fault, const char *line, const char *at,
		    size_t found_bytes, const char *expected)
{
	fault->column = column_of(line, at);
	fault->is_later_form = false;
	fault->expected = expected;
	copy_found(fault->found, at, found_bytes);
}

/*
 * Writes "expected X, found Y" to text, which has RULE_FAULT_TEXT_BYTES, and
 * returns text.
 */
const char *rule_fault_format(const struct rule_fault *fault, char *text)
{
	if (fault->found[0])
		snprintf(text, RULE_FAULT_TEXT_BYTES,
			 "expected %s, found \"%s\"", fault->expected,
			 fault->found);
	else
		snprintf(text, RULE_FAULT_TEXT_BYTES,
			 "expected %s, found nothing", fault->expected);
	return text;
}
