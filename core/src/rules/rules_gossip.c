#include <core/rules_gossip.h>

#include "gossip_state.h"

/* How many peers hear of a change at once; the rest hear from them. */
#define NOTICE_FANOUT 4
#define WATCHERS_PER_ZONE 2

/* Makes the decision for a node that knows no peer; free it after use. */
struct rules_gossip *
rules_gossip_new(const struct rules_gossip_options *options)
{
	struct rules_gossip *gossip = g_new0(struct rules_gossip, 1);

	gossip->options = *options;
	gossip->replica = rules_replica_new();
	gossip->reports = gossip_reports_new(options->zone_id);
	gossip->rand = g_rand_new_with_seed(options->seed);
	gossip_clock_init(&gossip->clock, gossip->rand);
	gossip->peers = gossip_peers_new(options->self_id, options->zone_id);
	return gossip;
}

/* Frees it; NULL is allowed. */
void rules_gossip_free(struct rules_gossip *gossip)
{
	if (!gossip)
		return;
	rules_replica_free(gossip->replica);
	gossip_reports_free(gossip->reports);
	gossip_peers_free(gossip->peers);
	g_rand_free(gossip->rand);
	g_free(gossip);
}

static bool is_behind(const struct rules_gossip *gossip)
{
	return !gossip->is_known ||
	       gossip_revision(gossip) < gossip->known_revision;
}

/* Tells whether this node is one of the few of its zone that use the store. */
bool rules_gossip_is_watcher(const struct rules_gossip *gossip)
{
	return gossip_peers_rank(gossip->peers) < WATCHERS_PER_ZONE;
}

/* Until its peers are known a node uses no feature. */
static uint64_t gossip_features(const struct rules_gossip *gossip)
{
	return gossip->options.features & gossip_peers_features(gossip->peers);
}

static void settle(struct rules_gossip *gossip)
{
	if (!rules_replica_settle(gossip->replica, gossip_features(gossip)))
		return;
	gossip->options.changed(gossip->options.context,
				rules_replica_rules(gossip->replica));
}

static void report(struct rules_gossip *gossip, int64_t now_ms)
{
	uint64_t reporter_id = gossip_peers_reporter(gossip->peers);
	struct config_message *own;

	gossip->clock.report_ms = now_ms;
	if (reporter_id != gossip->options.self_id) {
		gossip_send_digest(gossip, reporter_id, false);
		return;
	}
	own = gossip_message(gossip, CONFIG_DIGEST);
	if (gossip_reports_note(gossip->reports, gossip->options.self_id, own))
		gossip->is_report_due = true;
	config_message_free(own);
}

/* Tells a few peers that there is news; they pull what they lack. */
static void notify(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->is_notice_due = false;
	gossip->clock.notice_ms = now_ms;
	if (!gossip_peers_is_set(gossip->peers))
		return;
	for (uint32_t i = 0; i < NOTICE_FANOUT; i++) {
		uint64_t node_id =
			gossip_peers_draw(gossip->peers, gossip->rand);

		if (node_id != NODE_NONE)
			gossip_send_digest(gossip, node_id, false);
	}
	report(gossip, now_ms);
}

/* A burst of changes is announced together, a single one at once. */
void gossip_take_news(struct rules_gossip *gossip, int64_t now_ms)
{
	settle(gossip);
	gossip->known_revision =
		MAX(gossip->known_revision, gossip_revision(gossip));
	gossip->clock.news_ms = now_ms;
	gossip->is_notice_due = true;
	if (gossip_clock_may_notify(&gossip->clock, now_ms))
		notify(gossip, now_ms);
}

/* From now on this node may serve and answer its peers. */
void gossip_become_known(struct rules_gossip *gossip)
{
	if (gossip->is_known)
		return;
	gossip->is_known = true;
	settle(gossip);
	gossip->options.changed(gossip->options.context,
				rules_replica_rules(gossip->replica));
}

/* Takes a roster from the store or a peer; epochs only rise. */
void rules_gossip_take_roster(struct rules_gossip *gossip,
			      const struct roster *roster, int64_t now_ms)
{
	if (roster->epoch <= gossip->roster.epoch)
		return;
	gossip->roster = *roster;
	gossip->clock.news_ms = now_ms;
	gossip->is_notice_due = true;
	gossip->options.roster_changed(gossip->options.context,
				       &gossip->roster);
}

/*
 * Takes what the store holds; a key that is not there is an empty document.
 * A store that has lost lines which are in force gets them back.
 */
void rules_gossip_take_store(struct rules_gossip *gossip,
			     const struct rules_document *document,
			     int64_t now_ms)
{
	gossip->clock.now_ms = now_ms;
	gossip_clock_hear_store(&gossip->clock, 0);
	if (rules_replica_join(gossip->replica, document) > 0)
		gossip_take_news(gossip, now_ms);
	gossip_become_known(gossip);
	if (rules_gossip_is_watcher(gossip) &&
	    gossip_clock_may_repair(&gossip->clock, now_ms) &&
	    !rules_document_covers(document, gossip_document(gossip))) {
		gossip->clock.repair_ms = now_ms;
		gossip->options.repair_store(gossip->options.context);
	}
}

/* Takes this node's view of the nodes and copies what it keeps. */
void rules_gossip_set_nodes(struct rules_gossip *gossip,
			    const struct node_view *view, int64_t now_ms)
{
	bool was_watcher = rules_gossip_is_watcher(gossip);

	gossip_peers_set(gossip->peers, view);
	if (gossip_reports_set_nodes(gossip->reports, view))
		gossip->is_report_due = true;
	if (rules_gossip_is_watcher(gossip) != was_watcher)
		gossip->options.watch_store(gossip->options.context,
					    rules_gossip_is_watcher(gossip));
	settle(gossip);
}

static void read_store(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->clock.read_ms = now_ms;
	gossip->options.read_store(gossip->options.context);
}

static void tick_store(struct rules_gossip *gossip, int64_t now_ms)
{
	bool is_watcher = rules_gossip_is_watcher(gossip);

	if (gossip_clock_is_read_due(&gossip->clock, is_watcher,
				     gossip->is_known, now_ms))
		read_store(gossip, now_ms);
}

static void tick_digest(struct rules_gossip *gossip, int64_t now_ms)
{
	uint64_t node_id;

	if (!gossip_clock_is_digest_due(&gossip->clock, is_behind(gossip),
					now_ms))
		return;
	gossip->clock.digest_ms = now_ms;
	node_id = gossip_peers_draw(gossip->peers, gossip->rand);
	if (node_id != NODE_NONE)
		gossip_send_digest(gossip, node_id, true);
}

static void tick_report(struct rules_gossip *gossip, int64_t now_ms)
{
	if (gossip_peers_is_set(gossip->peers) &&
	    gossip_clock_is_report_due(&gossip->clock, now_ms))
		report(gossip, now_ms);
	if (!gossip->is_report_due || !rules_gossip_is_reporter(gossip))
		return;
	gossip->is_report_due = false;
	gossip->options.report_zone(gossip->options.context);
}

/* Does what is due; to be called about every 200 ms. */
void rules_gossip_tick(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->clock.now_ms = now_ms;
	if (gossip_clock_begin(&gossip->clock, now_ms) &&
	    rules_gossip_is_watcher(gossip))
		read_store(gossip, now_ms);
	if (gossip->is_notice_due &&
	    gossip_clock_may_notify(&gossip->clock, now_ms))
		notify(gossip, now_ms);
	tick_store(gossip, now_ms);
	tick_digest(gossip, now_ms);
	tick_report(gossip, now_ms);
}

/*
 * Tells whether this node has learned the configuration, from the store or
 * whole from a peer; before that it must not serve.
 */
bool rules_gossip_is_known(const struct rules_gossip *gossip)
{
	return gossip->is_known;
}

/* Tells whether this node publishes the reports of its zone. */
bool rules_gossip_is_reporter(const struct rules_gossip *gossip)
{
	return gossip_peers_rank(gossip->peers) == 0;
}

/* Returns the roster of the highest epoch heard of; epoch 0 is none. */
const struct roster *rules_gossip_roster(const struct rules_gossip *gossip)
{
	return &gossip->roster;
}

/* Returns what this node holds and has in force. */
const struct rules_replica *
rules_gossip_replica(const struct rules_gossip *gossip)
{
	return gossip->replica;
}

/* Returns the zone's reports as struct config_report; the caller frees them. */
GArray *rules_gossip_reports(const struct rules_gossip *gossip)
{
	return gossip_reports_list(gossip->reports);
}
