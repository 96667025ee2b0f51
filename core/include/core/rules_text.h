#ifndef CORE_RULES_TEXT_H
#define CORE_RULES_TEXT_H

#include <core/rules_text_line.h>

/*
 * A parsed rules file: its rule lines, valid or invalid, in the order of the
 * file. Blank lines and whole-line comments are left out.
 */
struct rules_text;

struct rules_text *rules_text_new(const char *bytes, size_t length_bytes);
void rules_text_free(struct rules_text *text);
uint32_t rules_text_count(const struct rules_text *text);
const struct rules_text_line *rules_text_at(const struct rules_text *text,
					    uint32_t index);
const struct rules_text_line *rules_text_find(const struct rules_text *text,
					      const char *name);
uint32_t rules_text_error_count(const struct rules_text *text);
bool rules_text_has_unnamed_line(const struct rules_text *text);
uint64_t rules_text_confirmed_revision(const struct rules_text *text);

#endif
