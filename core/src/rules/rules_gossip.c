#include <core/rules_gossip.h>

#include "gossip_state.h"

/* Peers to which a change is announced; they announce it to others in turn. */
#define ANNOUNCE_FANOUT 4
#define WATCHERS_PER_ZONE 2

/* Makes the state of a node without peers; free it with rules_gossip_free. */
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

/* Frees the state; NULL is allowed. */
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
	return !gossip->is_config_known ||
	       gossip_revision(gossip) < gossip->known_revision;
}

/* Returns whether this node is one of its zone's watchers of the store. */
bool rules_gossip_is_watcher(const struct rules_gossip *gossip)
{
	return gossip_peers_rank(gossip->peers) < WATCHERS_PER_ZONE;
}

/* Returns the features that all live nodes support; 0 without a view. */
static uint64_t common_features(const struct rules_gossip *gossip)
{
	return gossip->options.features &
	       gossip_peers_common_features(gossip->peers);
}

static void rebuild_rules(struct rules_gossip *gossip)
{
	if (!rules_replica_rebuild(gossip->replica, common_features(gossip)))
		return;
	gossip->options.rules_changed(gossip->options.context,
				      rules_replica_rules(gossip->replica));
}

static void send_report(struct rules_gossip *gossip, int64_t now_ms)
{
	uint64_t reporter_id = gossip_peers_reporter_id(gossip->peers);
	struct config_message *own_digest;

	gossip->clock.last_report_ms = now_ms;
	if (reporter_id != gossip->options.self_id) {
		gossip_send_digest(gossip, reporter_id, false);
		return;
	}
	own_digest = gossip_new_message(gossip, CONFIG_DIGEST);
	if (gossip_reports_update(gossip->reports, gossip->options.self_id,
				  own_digest))
		gossip->is_report_due = true;
	config_message_free(own_digest);
}

/* Sends a digest to random peers, which pull the lines that they lack. */
static void announce_change(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->is_announcement_due = false;
	gossip->clock.last_announce_ms = now_ms;
	if (!gossip_peers_has_view(gossip->peers))
		return;
	for (uint32_t i = 0; i < ANNOUNCE_FANOUT; i++) {
		uint64_t node_id =
			gossip_peers_pick_random(gossip->peers, gossip->rand);

		if (node_id != NODE_NONE)
			gossip_send_digest(gossip, node_id, false);
	}
	send_report(gossip, now_ms);
}

/* Updates the rules, and announces the change when the rate limit allows. */
void gossip_handle_change(struct rules_gossip *gossip, int64_t now_ms)
{
	rebuild_rules(gossip);
	gossip->known_revision =
		MAX(gossip->known_revision, gossip_revision(gossip));
	gossip->clock.last_change_ms = now_ms;
	gossip->is_announcement_due = true;
	if (gossip_clock_may_announce(&gossip->clock, now_ms))
		announce_change(gossip, now_ms);
}

/* Marks the configuration as known, so that this node may serve requests. */
void gossip_set_config_known(struct rules_gossip *gossip)
{
	if (gossip->is_config_known)
		return;
	gossip->is_config_known = true;
	rebuild_rules(gossip);
	gossip->options.rules_changed(gossip->options.context,
				      rules_replica_rules(gossip->replica));
}

/* Adopts a roster from the store or a peer if its epoch is later. */
void rules_gossip_handle_roster(struct rules_gossip *gossip,
				const struct roster *roster, int64_t now_ms)
{
	if (roster->epoch <= gossip->roster.epoch)
		return;
	gossip->roster = *roster;
	gossip->clock.last_change_ms = now_ms;
	gossip->is_announcement_due = true;
	gossip->options.roster_changed(gossip->options.context,
				       &gossip->roster);
}

/*
 * Joins the document read from the store; pass an empty one if the key does not
 * exist. If the store has lost lines that this node has, a watcher requests a
 * repair.
 */
void rules_gossip_handle_document(struct rules_gossip *gossip,
				  const struct rules_document *document,
				  int64_t now_ms)
{
	gossip->clock.now_ms = now_ms;
	gossip_clock_record_store_read(&gossip->clock, 0);
	if (rules_replica_join(gossip->replica, document) > 0)
		gossip_handle_change(gossip, now_ms);
	gossip_set_config_known(gossip);
	if (rules_gossip_is_watcher(gossip) &&
	    gossip_clock_may_repair(&gossip->clock, now_ms) &&
	    !rules_document_covers(document, gossip_document(gossip))) {
		gossip->clock.last_repair_ms = now_ms;
		gossip->options.repair_store(gossip->options.context);
	}
}

/* Updates the peers, the role as a watcher and the reports from a new view. */
void rules_gossip_set_nodes(struct rules_gossip *gossip,
			    const struct node_view *view, int64_t now_ms)
{
	bool was_watcher = rules_gossip_is_watcher(gossip);

	gossip_peers_set_view(gossip->peers, view);
	if (gossip_reports_set_nodes(gossip->reports, view))
		gossip->is_report_due = true;
	if (rules_gossip_is_watcher(gossip) != was_watcher)
		gossip->options.watch_store(gossip->options.context,
					    rules_gossip_is_watcher(gossip));
	rebuild_rules(gossip);
}

static void read_store(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->clock.last_own_read_ms = now_ms;
	gossip->options.read_store(gossip->options.context);
}

static void tick_store(struct rules_gossip *gossip, int64_t now_ms)
{
	bool is_watcher = rules_gossip_is_watcher(gossip);

	if (gossip_clock_is_read_due(&gossip->clock, is_watcher,
				     gossip->is_config_known, now_ms))
		read_store(gossip, now_ms);
}

static void tick_digest(struct rules_gossip *gossip, int64_t now_ms)
{
	uint64_t node_id;

	if (!gossip_clock_is_digest_due(&gossip->clock, is_behind(gossip),
					now_ms))
		return;
	gossip->clock.last_digest_ms = now_ms;
	node_id = gossip_peers_pick_random(gossip->peers, gossip->rand);
	if (node_id != NODE_NONE)
		gossip_send_digest(gossip, node_id, true);
}

static void tick_report(struct rules_gossip *gossip, int64_t now_ms)
{
	if (gossip_peers_has_view(gossip->peers) &&
	    gossip_clock_is_report_due(&gossip->clock, now_ms))
		send_report(gossip, now_ms);
	if (!gossip->is_report_due || !rules_gossip_is_reporter(gossip))
		return;
	gossip->is_report_due = false;
	gossip->options.publish_reports(gossip->options.context);
}

/* Runs the periodic actions that are due; call it about every 200 ms. */
void rules_gossip_tick(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->clock.now_ms = now_ms;
	if (gossip_clock_start(&gossip->clock, now_ms) &&
	    rules_gossip_is_watcher(gossip))
		read_store(gossip, now_ms);
	if (gossip->is_announcement_due &&
	    gossip_clock_may_announce(&gossip->clock, now_ms))
		announce_change(gossip, now_ms);
	tick_store(gossip, now_ms);
	tick_digest(gossip, now_ms);
	tick_report(gossip, now_ms);
}

/*
 * Returns whether this node has read the configuration from the store or
 * received all of it from peers; until then it must not serve requests.
 */
bool rules_gossip_is_config_known(const struct rules_gossip *gossip)
{
	return gossip->is_config_known;
}

/* Returns whether this node publishes the reports of its zone. */
bool rules_gossip_is_reporter(const struct rules_gossip *gossip)
{
	return gossip_peers_rank(gossip->peers) == 0;
}

/* Returns the roster of the latest epoch received; its epoch is 0 if none. */
const struct roster *rules_gossip_roster(const struct rules_gossip *gossip)
{
	return &gossip->roster;
}

/* Returns this node's replica of the configuration. */
const struct rules_replica *
rules_gossip_replica(const struct rules_gossip *gossip)
{
	return gossip->replica;
}

/* Returns an array of struct config_report; free it with g_array_free. */
GArray *rules_gossip_reports(const struct rules_gossip *gossip)
{
	return gossip_reports_list(gossip->reports);
}
