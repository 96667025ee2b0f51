#include <core/config_message.h>

static void free_line(gpointer line)
{
	rules_line_free(line);
}

/* Makes a message without lines; free it with config_message_free. */
struct config_message *config_message_new(enum config_kind kind)
{
	struct config_message *message = g_new0(struct config_message, 1);

	message->kind = kind;
	message->lines = g_ptr_array_new_with_free_func(free_line);
	return message;
}

/* Makes a deep copy; free it with config_message_free. */
struct config_message *config_message_copy(const struct config_message *message)
{
	struct config_message *copy = config_message_new(message->kind);
	GPtrArray *lines = copy->lines;

	*copy = *message;
	copy->lines = lines;
	copy->roster = g_memdup2(message->roster, sizeof(*message->roster));
	for (guint i = 0; i < message->lines->len; i++)
		g_ptr_array_add(lines, rules_line_copy(g_ptr_array_index(
					       message->lines, i)));
	return copy;
}

/* Frees a message, its lines and its roster; NULL is allowed. */
void config_message_free(struct config_message *message)
{
	if (!message)
		return;
	g_ptr_array_free(message->lines, TRUE);
	g_free(message->roster);
	g_free(message);
}
