#include <core/rules_text_line.h>

/* Frees a line and its rule; NULL is allowed. */
void rules_text_line_free(struct rules_text_line *line)
{
	if (!line)
		return;
	rule_free(line->rule);
	g_free(line->text);
	g_free(line);
}
