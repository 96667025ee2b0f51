#include "zone_reporter.h"

#include <string.h>

/* One write a second and zone, whatever the number of changes. */
#define WRITE_INTERVAL_MS 1000
#define LEASE_TTL_S 60
#define KEEP_ALIVE_INTERVAL_MS 20000

struct zone_reporter {
	struct kv_client *client;
	char *key;
	char *text;
	int64_t mod_revision;
	int64_t lease_id;
	int64_t write_ms;
	int64_t keep_alive_ms;
	bool is_due;
	bool is_busy;
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

/* Frees the reporter before its client; NULL is allowed. */
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

	reporter->is_busy = false;
	if (reply && reply->is_succeeded) {
		reporter->mod_revision = reply->store_revision;
		return;
	}
	/* Another node reported for the zone before; compare with that next. */
	if (reply)
		reporter->mod_revision = entry ? entry->mod_revision : 0;
	/* A refused write may mean that the lease has lapsed. */
	if (!reply)
		reporter->lease_id = 0;
	reporter->is_due = true;
}

static void write_report(struct zone_reporter *reporter)
{
	struct kv_callback callback = {reporter, on_written};

	reporter->is_busy = true;
	reporter->is_due = false;
	kv_client_put_if(reporter->client, reporter->key,
			 reporter->mod_revision, reporter->text,
			 (uint32_t)strlen(reporter->text), reporter->lease_id,
			 &callback);
}

static void on_granted(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct zone_reporter *reporter = context;

	reporter->is_busy = false;
	if (!reply || reply->lease_id == 0)
		return;
	reporter->lease_id = reply->lease_id;
	write_report(reporter);
}

/* A lease that has lapsed took the key with it. */
static void on_kept_alive(void *context, enum kv_outcome outcome,
			  const struct kv_reply *reply, const GError *error)
{
	struct zone_reporter *reporter = context;

	reporter->is_busy = false;
	if (!reply || reply->ttl_s > 0)
		return;
	reporter->lease_id = 0;
	reporter->mod_revision = 0;
	reporter->is_due = true;
}

static void grant(struct zone_reporter *reporter, int64_t now_ms)
{
	struct kv_callback callback = {reporter, on_granted};

	reporter->is_busy = true;
	reporter->keep_alive_ms = now_ms;
	kv_client_grant(reporter->client, LEASE_TTL_S, &callback);
}

static void keep_alive(struct zone_reporter *reporter, int64_t now_ms)
{
	struct kv_callback callback = {reporter, on_kept_alive};

	reporter->is_busy = true;
	reporter->keep_alive_ms = now_ms;
	kv_client_keep_alive(reporter->client, reporter->lease_id, &callback);
}

/* Publishes what is due while this node is its zone's reporter. */
void zone_reporter_tick(struct zone_reporter *reporter, bool is_active,
			int64_t now_ms)
{
	bool is_write_due = reporter->is_due &&
			    now_ms - reporter->write_ms >= WRITE_INTERVAL_MS;

	if (!is_active || reporter->is_busy || !reporter->text)
		return;
	if (is_write_due) {
		reporter->write_ms = now_ms;
		if (reporter->lease_id)
			write_report(reporter);
		else
			grant(reporter, now_ms);
	} else if (reporter->lease_id &&
		   now_ms - reporter->keep_alive_ms >= KEEP_ALIVE_INTERVAL_MS) {
		keep_alive(reporter, now_ms);
	}
}

/* Tells whether no call is on its way. */
bool zone_reporter_is_idle(const struct zone_reporter *reporter)
{
	return !reporter->is_busy;
}
