#include "zone_reporter.h"

#include <string.h>

/* One write a second and zone, whatever the number of changes. */
#define WRITE_INTERVAL_MS 1000

struct zone_reporter {
	struct kv_client *client;
	char *key;
	char *text;
	int64_t mod_revision;
	int64_t write_ms;
	bool is_due;
	bool is_writing;
};

/* Makes a reporter that has nothing to say yet. */
struct zone_reporter *zone_reporter_new(struct kv_client *client,
					const char *key)
{
	struct zone_reporter *reporter = g_new0(struct zone_reporter, 1);

	reporter->client = client;
	reporter->key = g_strdup(key);
	reporter->write_ms = -WRITE_INTERVAL_MS;
	return reporter;
}

/* Frees the reporter; NULL is allowed. */
void zone_reporter_free(struct zone_reporter *reporter)
{
	if (!reporter)
		return;
	g_free(reporter->key);
	g_free(reporter->text);
	g_free(reporter);
}

/* Takes ownership of the text to publish next. */
void zone_reporter_set(struct zone_reporter *reporter, char *text)
{
	bool is_same = reporter->text && strcmp(reporter->text, text) == 0;

	g_free(reporter->text);
	reporter->text = text;
	reporter->is_due = reporter->is_due || !is_same;
}

static void on_written(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct zone_reporter *reporter = context;
	const struct kv_entry *entry = reply ? kv_reply_entry(reply, 0) : NULL;

	reporter->is_writing = false;
	if (reply && reply->is_succeeded) {
		reporter->mod_revision = reply->store_revision;
		return;
	}
	/* Another node reported for the zone before; compare with that next. */
	if (reply)
		reporter->mod_revision = entry ? entry->mod_revision : 0;
	reporter->is_due = true;
}

/* Writes what is due. */
void zone_reporter_tick(struct zone_reporter *reporter, int64_t now_ms)
{
	struct kv_callback callback = {reporter, on_written};

	if (!reporter->is_due || reporter->is_writing ||
	    now_ms - reporter->write_ms < WRITE_INTERVAL_MS)
		return;
	reporter->is_due = false;
	reporter->is_writing = true;
	reporter->write_ms = now_ms;
	kv_client_put_if(reporter->client, reporter->key,
			 reporter->mod_revision, reporter->text,
			 (uint32_t)strlen(reporter->text), 0, &callback);
}
