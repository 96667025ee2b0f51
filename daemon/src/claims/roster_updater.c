#include "roster_updater.h"

#include <core/roster_planner.h>
#include <string.h>
#include <wire/roster_codec.h>

#define READ_INTERVAL_MS 2000
#define LEASE_TTL_S 10

/* The call in progress; there is at most one at a time. */
enum updater_step {
	UPDATER_IDLE,
	UPDATER_READING,
	UPDATER_GRANTING,
	UPDATER_ACQUIRING,
	UPDATER_WRITING,
	UPDATER_REVOKING,
};

/*
 * mod_revision and stored_epoch are those of the roster in the store, as last
 * read; 0 if there is none. has_read_roster: the roster has been read since the
 * last attempt to write it and the last failure. next_roster is the roster to
 * write.
 */
struct roster_updater {
	struct roster_updater_options options;
	char *key;
	char *lease_key;
	struct roster_planner *planner;
	enum updater_step step;
	struct roster next_roster;
	int64_t last_read_ms;
	int64_t mod_revision;
	int64_t lease_id;
	uint64_t stored_epoch;
	bool has_read_roster;
};

/*
 * Creates an updater that reads the store at its first tick. Free it with
 * roster_updater_free.
 */
struct roster_updater *
roster_updater_new(const struct roster_updater_options *options)
{
	struct roster_updater *updater = g_new0(struct roster_updater, 1);

	updater->options = *options;
	updater->key = g_strdup(options->key);
	updater->lease_key = g_strdup(options->lease_key);
	updater->planner = roster_planner_new();
	updater->last_read_ms = -READ_INTERVAL_MS;
	return updater;
}

/* Frees the updater; call it before the client is freed. NULL is allowed. */
void roster_updater_free(struct roster_updater *updater)
{
	if (!updater)
		return;
	roster_planner_free(updater->planner);
	g_free(updater->key);
	g_free(updater->lease_key);
	g_free(updater);
}

/*
 * Ends the read or update in progress and reports a failed call or an invalid
 * roster. The roster is read again before the next write.
 */
static void handle_failure(struct roster_updater *updater, const GError *error)
{
	updater->step = UPDATER_IDLE;
	updater->has_read_roster = false;
	updater->options.on_failed(updater->options.context,
				   error ? error->message
					 : "the store granted no lease");
}

static void handle_entry(struct roster_updater *updater,
			 const struct kv_entry *entry)
{
	struct roster roster;
	GError *error = NULL;

	updater->mod_revision = entry ? entry->mod_revision : 0;
	updater->stored_epoch = 0;
	updater->has_read_roster = true;
	if (!entry)
		return;
	if (roster_decode(&roster, entry->value, entry->value_bytes, &error)) {
		updater->stored_epoch = roster.epoch;
		updater->options.on_roster(updater->options.context, &roster);
		return;
	}
	handle_failure(updater, error);
	g_error_free(error);
}

static void on_read(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct roster_updater *updater = context;

	updater->step = UPDATER_IDLE;
	if (reply)
		handle_entry(updater, kv_reply_entry(reply, 0));
	else
		handle_failure(updater, error);
}

static void on_revoked(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct roster_updater *updater = context;

	/* A lease that was not revoked expires after LEASE_TTL_S. */
	updater->step = UPDATER_IDLE;
}

static void revoke_lease(struct roster_updater *updater)
{
	struct kv_callback callback = {updater, on_revoked};

	updater->step = UPDATER_REVOKING;
	updater->has_read_roster = false;
	updater->last_read_ms -= READ_INTERVAL_MS;
	kv_client_revoke(updater->options.client, updater->lease_id, &callback);
}

/* If the outcome of the write is unknown, the next read shows it. */
static void on_written(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct roster_updater *updater = context;

	if (reply && reply->has_succeeded)
		updater->options.on_roster(updater->options.context,
					   &updater->next_roster);
	revoke_lease(updater);
}

static void write_roster(struct roster_updater *updater)
{
	struct kv_callback callback = {updater, on_written};
	char *text = roster_encode(&updater->next_roster);

	updater->step = UPDATER_WRITING;
	kv_client_put_if(updater->options.client, updater->key,
			 updater->mod_revision, text, (uint32_t)strlen(text), 0,
			 &callback);
	g_free(text);
}

static void on_acquired(void *context, enum kv_outcome outcome,
			const struct kv_reply *reply, const GError *error)
{
	struct roster_updater *updater = context;

	if (reply && reply->has_succeeded)
		write_roster(updater);
	else
		revoke_lease(updater);
}

static void on_granted(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct roster_updater *updater = context;
	struct kv_callback callback = {updater, on_acquired};

	if (!reply || reply->lease_id == 0) {
		handle_failure(updater, error);
		return;
	}
	updater->lease_id = reply->lease_id;
	updater->step = UPDATER_ACQUIRING;
	kv_client_put_if(updater->options.client, updater->lease_key, 0, "held",
			 4, updater->lease_id, &callback);
}

static void start_read(struct roster_updater *updater, int64_t now_ms)
{
	struct kv_callback callback = {updater, on_read};

	updater->step = UPDATER_READING;
	updater->last_read_ms = now_ms;
	kv_client_range(updater->options.client, updater->key, false,
			&callback);
}

/*
 * Returns whether a roster must be written, and sets next_roster to it: the
 * planner's next one, or the current one if the store contains an older one, as
 * after a restore from a backup.
 */
static bool is_write_due(struct roster_updater *updater,
			 const struct roster_updater_inputs *inputs,
			 int64_t now_ms)
{
	bool has_change =
		roster_planner_next(updater->planner, &updater->next_roster,
				    inputs->current, inputs->nodes, now_ms);

	if (has_change || updater->stored_epoch >= inputs->current->epoch)
		return has_change;
	updater->next_roster = *inputs->current;
	return true;
}

/*
 * Starts a read or an update if one is due and no call is in progress. An
 * update obtains a lease, acquires the lock with it, writes the roster and
 * revokes the lease.
 */
void roster_updater_tick(struct roster_updater *updater,
			 const struct roster_updater_inputs *inputs,
			 int64_t now_ms)
{
	struct kv_callback callback = {updater, on_granted};

	if (updater->step != UPDATER_IDLE || !inputs->is_reader ||
	    !inputs->nodes)
		return;
	if (now_ms - updater->last_read_ms >= READ_INTERVAL_MS) {
		start_read(updater, now_ms);
		return;
	}
	if (!updater->has_read_roster || !inputs->is_writer ||
	    !is_write_due(updater, inputs, now_ms))
		return;
	updater->step = UPDATER_GRANTING;
	kv_client_grant(updater->options.client, LEASE_TTL_S, &callback);
}

/* Returns whether no call is in progress. */
bool roster_updater_is_idle(const struct roster_updater *updater)
{
	return updater->step == UPDATER_IDLE;
}
