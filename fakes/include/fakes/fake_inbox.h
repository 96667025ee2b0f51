#ifndef FAKES_FAKE_INBOX_H
#define FAKES_FAKE_INBOX_H

#include <stdbool.h>
#include <task/task.h>

/*
 * A task that keeps every message it receives, so that a test can wait for
 * messages and inspect them from its own thread.
 */
struct fake_inbox;

struct fake_inbox *fake_inbox_new(void);
void fake_inbox_free(struct fake_inbox *inbox);
struct task *fake_inbox_task(struct fake_inbox *inbox);
bool fake_inbox_wait(struct fake_inbox *inbox, void *context,
		     bool (*matches)(void *context,
				     const struct message *message));

#endif
