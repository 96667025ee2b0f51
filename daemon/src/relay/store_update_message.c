#include <daemon/store_update_message.h>

static void store_update_message_free(struct message *message)
{
	struct store_update_message *update =
		(struct store_update_message *)message;

	g_array_free(update->changes, TRUE);
	if (update->peers)
		g_array_free(update->peers, TRUE);
	if (update->evacuations)
		g_array_free(update->evacuations, TRUE);
	relay_route_table_free(update->routes);
	g_free(update);
}

const struct message_type store_update_message_type = {
	"news", store_update_message_free};

/* Creates a message without changes. Free it with message_free, or post it. */
struct store_update_message *store_update_message_new(int64_t revision,
						      bool is_snapshot)
{
	struct store_update_message *update =
		g_new0(struct store_update_message, 1);

	update->message.type = &store_update_message_type;
	update->revision = revision;
	update->is_snapshot = is_snapshot;
	update->changes =
		g_array_new(FALSE, TRUE, sizeof(struct target_change));
	return update;
}
