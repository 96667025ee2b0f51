#include <daemon/news_message.h>

static void news_message_free(struct message *message)
{
	struct news_message *news = (struct news_message *)message;

	g_array_free(news->changes, TRUE);
	if (news->peers)
		g_array_free(news->peers, TRUE);
	relay_route_table_free(news->routes);
	g_free(news);
}

const struct message_type news_message_type = {"news", news_message_free};

/* Makes a message without changes; the mailbox that takes it owns it. */
struct news_message *news_message_new(int64_t revision, bool is_whole)
{
	struct news_message *news = g_new0(struct news_message, 1);

	news->message.type = &news_message_type;
	news->revision = revision;
	news->is_whole = is_whole;
	news->changes = g_array_new(FALSE, TRUE, sizeof(struct target_change));
	return news;
}
