#include <task/message.h>

/* Frees a message through its type; NULL is allowed. */
void message_free(struct message *message)
{
	if (message)
		message->type->free(message);
}
