/*
 * A mailbox rejects messages beyond its capacity or after it is closed. Freeing
 * it frees the messages that it still holds.
 */
#include <fakes/test_main.h>
#include <glib.h>
#include <task/mailbox.h>

static uint32_t freed_count;

static void count_and_free(struct message *message)
{
	freed_count++;
	g_free(message);
}

static const struct message_type type = {"test", count_and_free};

static struct message *new_message(void)
{
	struct message *message = g_new0(struct message, 1);

	message->type = &type;
	return message;
}

/* The number of messages posted, and how many the mailbox accepts and frees. */
static const struct {
	uint32_t capacity;
	uint32_t posted_count;
	bool is_closed;
	uint32_t accepted_count;
	uint32_t freed_count;
	enum post_result last_result;
} rows[] = {
	{4, 0, false, 0, 0, POST_ACCEPTED}, {4, 3, false, 3, 3, POST_ACCEPTED},
	{4, 4, false, 4, 4, POST_ACCEPTED}, {4, 5, false, 4, 4, POST_FULL},
	{1, 2, false, 1, 1, POST_FULL},	    {0, 1, false, 0, 0, POST_FULL},
	{4, 1, true, 0, 1, POST_CLOSED},    {0, 1, true, 0, 1, POST_CLOSED},
};

START_TEST(test_capacity)
{
	struct mailbox *mailbox = mailbox_new(rows[_i].capacity);
	enum post_result result = POST_ACCEPTED;
	uint32_t accepted_count = 0;
	bool was_empty;

	freed_count = 0;
	if (rows[_i].is_closed)
		mailbox_close(mailbox, new_message());
	for (uint32_t i = 0; i < rows[_i].posted_count; i++) {
		struct message *message = new_message();

		result = mailbox_post(mailbox, message, &was_empty);
		if (result == POST_ACCEPTED)
			accepted_count++;
		else
			g_free(message);
	}
	ck_assert_int_eq(result, rows[_i].last_result);
	ck_assert_uint_eq(accepted_count, rows[_i].accepted_count);
	mailbox_free(mailbox);
	ck_assert_uint_eq(freed_count, rows[_i].freed_count);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("mailbox");
	TCase *tcase = tcase_create("bound");

	tcase_add_loop_test(tcase, test_capacity, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
