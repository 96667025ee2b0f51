#include "roster_keeper.h"

#include <core/roster_planner.h>
#include <string.h>
#include <wire/roster_codec.h>

#define READ_INTERVAL_MS 2000
#define LEASE_TTL_S 10

/* What the keeper waits for; one call is on its way at a time. */
enum keeper_step {
	KEEPER_IDLE,
	KEEPER_READING,
	KEEPER_GRANTING,
	KEEPER_LEASING,
	KEEPER_WRITING,
	KEEPER_REVOKING,
};

struct roster_keeper {
	struct roster_keeper_options options;
	char *key;
	char *lease_key;
	struct roster_planner *choice;
	enum keeper_step step;
	struct roster next;
	int64_t read_ms;
	int64_t mod_revision;
	int64_t lease_id;
	uint64_t stored_epoch;
	bool has_read;
};

/* Makes a keeper that has read nothing. */
struct roster_keeper *
roster_keeper_new(const struct roster_keeper_options *options)
{
	struct roster_keeper *keeper = g_new0(struct roster_keeper, 1);

	keeper->options = *options;
	keeper->key = g_strdup(options->key);
	keeper->lease_key = g_strdup(options->lease_key);
	keeper->choice = roster_planner_new();
	keeper->read_ms = -READ_INTERVAL_MS;
	return keeper;
}

/* Frees the keeper before its client; NULL is allowed. */
void roster_keeper_free(struct roster_keeper *keeper)
{
	if (!keeper)
		return;
	roster_planner_free(keeper->choice);
	g_free(keeper->key);
	g_free(keeper->lease_key);
	g_free(keeper);
}

/* After a failure the roster is read again before anything is written. */
static void fail(struct roster_keeper *keeper, const GError *error)
{
	keeper->step = KEEPER_IDLE;
	keeper->has_read = false;
	keeper->options.on_failed(keeper->options.context,
				  error ? error->message : "lost a race");
}

static void take_entry(struct roster_keeper *keeper,
		       const struct kv_entry *entry)
{
	struct roster roster;
	GError *error = NULL;

	keeper->mod_revision = entry ? entry->mod_revision : 0;
	keeper->stored_epoch = 0;
	keeper->has_read = true;
	if (!entry)
		return;
	if (roster_decode(&roster, entry->value, entry->value_bytes, &error)) {
		keeper->stored_epoch = roster.epoch;
		keeper->options.on_roster(keeper->options.context, &roster);
		return;
	}
	fail(keeper, error);
	g_error_free(error);
}

static void on_read(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct roster_keeper *keeper = context;

	keeper->step = KEEPER_IDLE;
	if (reply)
		take_entry(keeper, kv_reply_entry(reply, 0));
	else
		fail(keeper, error);
}

static void on_revoked(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct roster_keeper *keeper = context;

	/* A lease that could not be revoked lapses by itself. */
	keeper->step = KEEPER_IDLE;
}

static void revoke_lease(struct roster_keeper *keeper)
{
	struct kv_callback callback = {keeper, on_revoked};

	keeper->step = KEEPER_REVOKING;
	keeper->has_read = false;
	keeper->read_ms -= READ_INTERVAL_MS;
	kv_client_revoke(keeper->options.client, keeper->lease_id, &callback);
}

/* Whatever became of the write, the next read shows it. */
static void on_written(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct roster_keeper *keeper = context;

	if (reply && reply->has_succeeded)
		keeper->options.on_roster(keeper->options.context,
					  &keeper->next);
	revoke_lease(keeper);
}

static void write_roster(struct roster_keeper *keeper)
{
	struct kv_callback callback = {keeper, on_written};
	char *text = roster_encode(&keeper->next);

	keeper->step = KEEPER_WRITING;
	kv_client_put_if(keeper->options.client, keeper->key,
			 keeper->mod_revision, text, (uint32_t)strlen(text), 0,
			 &callback);
	g_free(text);
}

static void on_leased(void *context, enum kv_outcome outcome,
		      const struct kv_reply *reply, const GError *error)
{
	struct roster_keeper *keeper = context;

	if (reply && reply->has_succeeded)
		write_roster(keeper);
	else
		revoke_lease(keeper);
}

static void on_granted(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct roster_keeper *keeper = context;
	struct kv_callback callback = {keeper, on_leased};

	if (!reply || reply->lease_id == 0) {
		fail(keeper, error);
		return;
	}
	keeper->lease_id = reply->lease_id;
	keeper->step = KEEPER_LEASING;
	kv_client_put_if(keeper->options.client, keeper->lease_key, 0, "held",
			 4, keeper->lease_id, &callback);
}

static void start_read(struct roster_keeper *keeper, int64_t now_ms)
{
	struct kv_callback callback = {keeper, on_read};

	keeper->step = KEEPER_READING;
	keeper->read_ms = now_ms;
	kv_client_range(keeper->options.client, keeper->key, false, &callback);
}

/* A store that went back gets the roster of the highest epoch again. */
static bool is_write_due(struct roster_keeper *keeper,
			 const struct roster_keeper_view *view, int64_t now_ms)
{
	bool is_wanted = roster_planner_next(keeper->choice, &keeper->next,
					     view->held, view->nodes, now_ms);

	if (is_wanted || keeper->stored_epoch >= view->held->epoch)
		return is_wanted;
	keeper->next = *view->held;
	return true;
}

/* Does what is due; at most one call is on its way. */
void roster_keeper_tick(struct roster_keeper *keeper,
			const struct roster_keeper_view *view, int64_t now_ms)
{
	struct kv_callback callback = {keeper, on_granted};

	if (keeper->step != KEEPER_IDLE || !view->is_reader || !view->nodes)
		return;
	if (now_ms - keeper->read_ms >= READ_INTERVAL_MS) {
		start_read(keeper, now_ms);
		return;
	}
	if (!keeper->has_read || !view->is_writer ||
	    !is_write_due(keeper, view, now_ms))
		return;
	keeper->step = KEEPER_GRANTING;
	kv_client_grant(keeper->options.client, LEASE_TTL_S, &callback);
}

/* Tells whether no call is on its way. */
bool roster_keeper_is_idle(const struct roster_keeper *keeper)
{
	return keeper->step == KEEPER_IDLE;
}
