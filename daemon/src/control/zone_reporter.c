#include "zone_reporter.h"

#include <string.h>

/* Limits a zone to one write per second, however often the report changes. */
#define WRITE_INTERVAL_MS 1000
#define LEASE_TTL_S 60
#define KEEP_ALIVE_INTERVAL_MS 20000

struct zone_reporter {
	struct kv_client *client;
	char *key;
	char *text;
	int64_t mod_revision;
	int64_t lease_id;
	int64_t last_write_ms;
	int64_t last_keep_alive_ms;
	bool is_dirty;
	bool has_pending_call;
};

/*
 * Creates a reporter, which writes nothing before zone_reporter_set is called.
 * Free it with zone_reporter_free.
 */
struct zone_reporter *zone_reporter_new(struct kv_client *client,
					const char *key)
{
	struct zone_reporter *reporter = g_new0(struct zone_reporter, 1);

	reporter->client = client;
	reporter->key = g_strdup(key);
	reporter->last_write_ms = -WRITE_INTERVAL_MS;
	return reporter;
}

/*
 * Frees the reporter, which must happen before its client is freed; NULL is
 * allowed.
 */
void zone_reporter_free(struct zone_reporter *reporter)
{
	if (!reporter)
		return;
	g_free(reporter->key);
	g_free(reporter->text);
	g_free(reporter);
}

/* Sets the report to publish next and takes ownership of the text. */
void zone_reporter_set(struct zone_reporter *reporter, char *text)
{
	bool is_same = reporter->text && strcmp(reporter->text, text) == 0;

	g_free(reporter->text);
	reporter->text = text;
	reporter->is_dirty = reporter->is_dirty || !is_same;
}

static void on_written(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct zone_reporter *reporter = context;
	const struct kv_entry *entry = reply ? kv_reply_entry(reply, 0) : NULL;

	reporter->has_pending_call = false;
	if (reply && reply->has_succeeded) {
		reporter->mod_revision = reply->store_revision;
		return;
	}
	/*
	 * Another node has written or the store has deleted the report: expect
	 * that state in the next write.
	 */
	if (reply)
		reporter->mod_revision = entry ? entry->mod_revision : 0;
	/* The write may have failed because the lease has expired. */
	if (!reply)
		reporter->lease_id = 0;
	reporter->is_dirty = true;
}

static void write_report(struct zone_reporter *reporter)
{
	struct kv_callback callback = {reporter, on_written};

	reporter->has_pending_call = true;
	reporter->is_dirty = false;
	kv_client_put_if(reporter->client, reporter->key,
			 reporter->mod_revision, reporter->text,
			 (uint32_t)strlen(reporter->text), reporter->lease_id,
			 &callback);
}

static void on_lease_granted(void *context, enum kv_outcome outcome,
			     const struct kv_reply *reply, const GError *error)
{
	struct zone_reporter *reporter = context;

	reporter->has_pending_call = false;
	if (!reply || reply->lease_id == 0)
		return;
	reporter->lease_id = reply->lease_id;
	write_report(reporter);
}

/*
 * A TTL of 0 means that the lease has expired and the store has deleted the
 * key: the next write creates both again.
 */
static void on_kept_alive(void *context, enum kv_outcome outcome,
			  const struct kv_reply *reply, const GError *error)
{
	struct zone_reporter *reporter = context;

	reporter->has_pending_call = false;
	if (!reply || reply->ttl_s > 0)
		return;
	reporter->lease_id = 0;
	reporter->mod_revision = 0;
	reporter->is_dirty = true;
}

static void grant_lease(struct zone_reporter *reporter, int64_t now_ms)
{
	struct kv_callback callback = {reporter, on_lease_granted};

	reporter->has_pending_call = true;
	reporter->last_keep_alive_ms = now_ms;
	kv_client_grant(reporter->client, LEASE_TTL_S, &callback);
}

static void keep_alive(struct zone_reporter *reporter, int64_t now_ms)
{
	struct kv_callback callback = {reporter, on_kept_alive};

	reporter->has_pending_call = true;
	reporter->last_keep_alive_ms = now_ms;
	kv_client_keep_alive(reporter->client, reporter->lease_id, &callback);
}

/*
 * Writes a changed report or renews the lease. is_active says whether this node
 * reports for its zone.
 */
void zone_reporter_tick(struct zone_reporter *reporter, bool is_active,
			int64_t now_ms)
{
	bool is_write_due =
		reporter->is_dirty &&
		now_ms - reporter->last_write_ms >= WRITE_INTERVAL_MS;

	if (!is_active || reporter->has_pending_call || !reporter->text)
		return;
	if (is_write_due) {
		reporter->last_write_ms = now_ms;
		if (reporter->lease_id)
			write_report(reporter);
		else
			grant_lease(reporter, now_ms);
	} else if (reporter->lease_id &&
		   now_ms - reporter->last_keep_alive_ms >=
			   KEEP_ALIVE_INTERVAL_MS) {
		keep_alive(reporter, now_ms);
	}
}

/* Returns whether no call to the store is pending. */
bool zone_reporter_is_idle(const struct zone_reporter *reporter)
{
	return !reporter->has_pending_call;
}
