#include <core/rules_gossip.h>

#include "config_deltas.h"
#include "gossip_peers.h"
#include "gossip_reports.h"

/* How many peers hear of a change at once; the rest hear from them. */
#define NOTICE_FANOUT 4
#define NOTICE_INTERVAL_MS 200
#define DIGEST_INTERVAL_MS 1000
#define DIGEST_INTERVAL_BEHIND_MS 400
/* How long after news digests go out as often as when behind. */
#define NEWS_PERIOD_MS 3000
#define PULL_TIMEOUT_MS 300
#define REPORT_INTERVAL_MS 5000
#define WATCHERS_PER_ZONE 2
#define WATCHER_READ_INTERVAL_MS 1000
#define SILENCE_BOUND_MS 5000
#define FIRST_READ_DELAY_MS 1000
#define READ_JITTER_MS 1000
#define REPAIR_INTERVAL_MS 2000

struct rules_gossip {
	struct rules_gossip_options options;
	struct rules_replica *replica;
	struct gossip_reports *reports;
	struct roster roster;
	struct gossip_peers *peers;
	GRand *rand;
	uint64_t known_revision;
	bool is_known;
	bool is_notice_due;
	bool is_report_due;
	int64_t start_ms;
	int64_t notice_ms;
	int64_t news_ms;
	int64_t digest_ms;
	int64_t pull_ms;
	int64_t report_ms;
	int64_t read_ms;
	int64_t heard_ms;
	int64_t repair_ms;
	bool has_started;
};

/* Makes the decision for a node that knows no peer; free it after use. */
struct rules_gossip *
rules_gossip_new(const struct rules_gossip_options *options)
{
	struct rules_gossip *gossip = g_new0(struct rules_gossip, 1);

	gossip->options = *options;
	gossip->replica = rules_replica_new();
	gossip->reports = gossip_reports_new(options->zone_id);
	gossip->rand = g_rand_new_with_seed(options->seed);
	gossip->peers = gossip_peers_new(options->self_id, options->zone_id);
	gossip->news_ms = -NEWS_PERIOD_MS;
	gossip->repair_ms = -REPAIR_INTERVAL_MS;
	gossip->pull_ms = -PULL_TIMEOUT_MS;
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

static const struct rules_document *held(const struct rules_gossip *gossip)
{
	return rules_replica_document(gossip->replica);
}

static uint64_t own_revision(const struct rules_gossip *gossip)
{
	return rules_document_revision(held(gossip));
}

static bool is_behind(const struct rules_gossip *gossip)
{
	return !gossip->is_known ||
	       own_revision(gossip) < gossip->known_revision;
}

static struct config_message *make_message(const struct rules_gossip *gossip,
					   enum config_kind kind)
{
	struct config_message *message = config_message_new(kind);

	message->revision = own_revision(gossip);
	message->digest = rules_document_digest(held(gossip));
	message->held_count = rules_replica_held_count(gossip->replica);
	message->is_known = gossip->is_known;
	message->roster_epoch = gossip->roster.epoch;
	return message;
}

static void send(struct rules_gossip *gossip, uint64_t node_id,
		 struct config_message *message)
{
	gossip->options.send(gossip->options.context, node_id, message);
}

static void send_digest(struct rules_gossip *gossip, uint64_t node_id,
			bool wants_reply)
{
	struct config_message *message = make_message(gossip, CONFIG_DIGEST);

	message->wants_reply = wants_reply;
	send(gossip, node_id, message);
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

	gossip->report_ms = now_ms;
	if (reporter_id != gossip->options.self_id) {
		send_digest(gossip, reporter_id, false);
		return;
	}
	own = make_message(gossip, CONFIG_DIGEST);
	if (gossip_reports_note(gossip->reports, gossip->options.self_id, own))
		gossip->is_report_due = true;
	config_message_free(own);
}

/* Tells a few peers that there is news; they pull what they lack. */
static void notify(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->is_notice_due = false;
	gossip->notice_ms = now_ms;
	if (!gossip_peers_is_set(gossip->peers))
		return;
	for (uint32_t i = 0; i < NOTICE_FANOUT; i++) {
		uint64_t node_id =
			gossip_peers_draw(gossip->peers, gossip->rand);

		if (node_id != NODE_NONE)
			send_digest(gossip, node_id, false);
	}
	report(gossip, now_ms);
}

/* A burst of changes is announced together, a single one at once. */
static void take_news(struct rules_gossip *gossip, int64_t now_ms)
{
	settle(gossip);
	gossip->known_revision =
		MAX(gossip->known_revision, own_revision(gossip));
	gossip->news_ms = now_ms;
	gossip->is_notice_due = true;
	if (now_ms - gossip->notice_ms >= NOTICE_INTERVAL_MS)
		notify(gossip, now_ms);
}

static void become_known(struct rules_gossip *gossip)
{
	if (gossip->is_known)
		return;
	gossip->is_known = true;
	settle(gossip);
	gossip->options.changed(gossip->options.context,
				rules_replica_rules(gossip->replica));
}

static void pull(struct rules_gossip *gossip, uint64_t node_id, uint64_t since,
		 int64_t now_ms)
{
	struct config_message *message;

	if (now_ms - gossip->pull_ms < PULL_TIMEOUT_MS)
		return;
	gossip->pull_ms = now_ms;
	message = make_message(gossip, CONFIG_PULL);
	message->since = since;
	send(gossip, node_id, message);
}

/* Lines of equal revision that differ come from a store that went back. */
static void compare(struct rules_gossip *gossip, uint64_t node_id,
		    const struct config_message *message, int64_t now_ms)
{
	uint64_t revision = own_revision(gossip);
	bool is_equal = message->digest == rules_document_digest(held(gossip));

	gossip->known_revision = MAX(gossip->known_revision, message->revision);
	if (message->revision > revision)
		pull(gossip, node_id, revision, now_ms);
	else if (message->revision == revision && !is_equal)
		pull(gossip, node_id, 0, now_ms);
	else if (message->revision == revision)
		become_known(gossip);
	if (message->roster_epoch > gossip->roster.epoch)
		pull(gossip, node_id, revision, now_ms);
	if (message->wants_reply &&
	    (!is_equal || message->roster_epoch < gossip->roster.epoch))
		send_digest(gossip, node_id, false);
}

static void take_digest(struct rules_gossip *gossip, uint64_t node_id,
			const struct config_message *message, int64_t now_ms)
{
	if (gossip_reports_note(gossip->reports, node_id, message))
		gossip->is_report_due = true;
	if (message->is_known)
		compare(gossip, node_id, message, now_ms);
	else if (message->wants_reply && gossip->is_known)
		send_digest(gossip, node_id, false);
}

static void send_roster(struct rules_gossip *gossip, uint64_t node_id)
{
	struct config_message *message = make_message(gossip, CONFIG_ROSTER);

	message->roster = g_memdup2(&gossip->roster, sizeof(gossip->roster));
	send(gossip, node_id, message);
}

/* Answers with all lines newer than asked for, and with a newer roster. */
static void answer_pull(struct rules_gossip *gossip, uint64_t node_id,
			const struct config_message *pull_message)
{
	GPtrArray *deltas = config_deltas(held(gossip), pull_message->since);

	for (guint i = 0; i < deltas->len; i++) {
		struct config_message *delta = g_ptr_array_index(deltas, i);

		delta->held_count = rules_replica_held_count(gossip->replica);
		send(gossip, node_id, delta);
	}
	g_ptr_array_free(deltas, TRUE);
	if (pull_message->roster_epoch < gossip->roster.epoch)
		send_roster(gossip, node_id);
}

static void take_delta(struct rules_gossip *gossip,
		       const struct config_message *message, int64_t now_ms)
{
	uint32_t count = 0;

	for (guint i = 0; i < message->lines->len; i++) {
		struct rules_line *line =
			rules_line_copy(g_ptr_array_index(message->lines, i));

		count += rules_replica_put(gossip->replica, line) ? 1 : 0;
	}
	if (count > 0)
		take_news(gossip, now_ms);
	if (message->digest != rules_document_digest(held(gossip)))
		return;
	/* The answer is whole, so the next pull need not wait. */
	gossip->pull_ms = now_ms - PULL_TIMEOUT_MS;
	become_known(gossip);
}

/* Takes a roster from the store or a peer; epochs only rise. */
void rules_gossip_take_roster(struct rules_gossip *gossip,
			      const struct roster *roster, int64_t now_ms)
{
	if (roster->epoch <= gossip->roster.epoch)
		return;
	gossip->roster = *roster;
	gossip->news_ms = now_ms;
	gossip->is_notice_due = true;
	gossip->options.roster_changed(gossip->options.context,
				       &gossip->roster);
}

/* Takes a message from another node. */
void rules_gossip_receive(struct rules_gossip *gossip, uint64_t node_id,
			  const struct config_message *message, int64_t now_ms)
{
	if (message->is_known)
		gossip->heard_ms = now_ms;
	switch (message->kind) {
	case CONFIG_DIGEST:
		take_digest(gossip, node_id, message, now_ms);
		break;
	case CONFIG_PULL:
		if (gossip->is_known)
			answer_pull(gossip, node_id, message);
		break;
	case CONFIG_DELTA:
		if (message->is_known)
			take_delta(gossip, message, now_ms);
		break;
	case CONFIG_ROSTER:
		rules_gossip_take_roster(gossip, message->roster, now_ms);
		break;
	case CONFIG_KIND_COUNT:
		break;
	}
}

/*
 * Takes what the store holds; a key that is not there is an empty document.
 * A store that has lost lines which are in force gets them back.
 */
void rules_gossip_take_store(struct rules_gossip *gossip,
			     const struct rules_document *document,
			     int64_t now_ms)
{
	gossip->heard_ms = now_ms;
	if (rules_replica_join(gossip->replica, document) > 0)
		take_news(gossip, now_ms);
	become_known(gossip);
	if (rules_gossip_is_watcher(gossip) &&
	    now_ms - gossip->repair_ms >= REPAIR_INTERVAL_MS &&
	    !rules_document_covers(document, held(gossip))) {
		gossip->repair_ms = now_ms;
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
	gossip->read_ms = now_ms;
	gossip->options.read_store(gossip->options.context);
}

/* A node without news reads once soon after its start, then when all is silent.
 */
static bool is_read_due(struct rules_gossip *gossip, int64_t now_ms)
{
	int64_t jitter_ms = g_rand_int_range(gossip->rand, 0, READ_JITTER_MS);
	bool is_first =
		!gossip->is_known && gossip->read_ms == gossip->start_ms;

	if (is_first)
		return now_ms - gossip->start_ms >=
		       FIRST_READ_DELAY_MS + jitter_ms;
	return now_ms - gossip->heard_ms >= SILENCE_BOUND_MS &&
	       now_ms - gossip->read_ms >= SILENCE_BOUND_MS + jitter_ms;
}

/* Watchers read besides, as a watch can stall without a sign. */
static void tick_store(struct rules_gossip *gossip, int64_t now_ms)
{
	bool is_due =
		rules_gossip_is_watcher(gossip)
			? now_ms - gossip->read_ms >= WATCHER_READ_INTERVAL_MS
			: is_read_due(gossip, now_ms);

	if (is_due)
		read_store(gossip, now_ms);
}

static void tick_digest(struct rules_gossip *gossip, int64_t now_ms)
{
	bool is_urgent =
		is_behind(gossip) || now_ms - gossip->news_ms < NEWS_PERIOD_MS;
	int64_t interval_ms =
		is_urgent ? DIGEST_INTERVAL_BEHIND_MS : DIGEST_INTERVAL_MS;
	uint64_t node_id;

	if (now_ms - gossip->digest_ms < interval_ms)
		return;
	gossip->digest_ms = now_ms;
	node_id = gossip_peers_draw(gossip->peers, gossip->rand);
	if (node_id != NODE_NONE)
		send_digest(gossip, node_id, true);
}

/* Sets the clocks apart, so that nodes started together do not act as one. */
static void begin(struct rules_gossip *gossip, int64_t now_ms)
{
	gossip->has_started = true;
	gossip->start_ms = now_ms;
	gossip->heard_ms = now_ms;
	gossip->notice_ms = now_ms - NOTICE_INTERVAL_MS;
	gossip->digest_ms =
		now_ms - g_rand_int_range(gossip->rand, 0, DIGEST_INTERVAL_MS);
	gossip->report_ms =
		now_ms - g_rand_int_range(gossip->rand, 0, REPORT_INTERVAL_MS);
	gossip->read_ms = now_ms;
	if (rules_gossip_is_watcher(gossip))
		read_store(gossip, now_ms);
}

/* Does what is due; to be called about every 200 ms. */
void rules_gossip_tick(struct rules_gossip *gossip, int64_t now_ms)
{
	if (!gossip->has_started)
		begin(gossip, now_ms);
	if (gossip->is_notice_due &&
	    now_ms - gossip->notice_ms >= NOTICE_INTERVAL_MS)
		notify(gossip, now_ms);
	tick_store(gossip, now_ms);
	tick_digest(gossip, now_ms);
	if (gossip_peers_is_set(gossip->peers) &&
	    now_ms - gossip->report_ms >= REPORT_INTERVAL_MS)
		report(gossip, now_ms);
	if (gossip->is_report_due && rules_gossip_is_reporter(gossip)) {
		gossip->is_report_due = false;
		gossip->options.report_zone(gossip->options.context);
	}
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
