#include "soak_hosts.h"

#include "soak_host.h"
#include "soak_net.h"

#include <fakes/foreign_entry.h>
#include <task/task.h>

/*
 * Longer than the maximum update delay, so that a node that missed the drain
 * sends a new flow to the draining host, which violates SOAK_RULE_DRAIN.
 */
#define DRAIN_MS 6000
/* Store entries expire after three missed heartbeats of 0.5 s. */
#define ENTRY_TTL_MS 1500
#define SLOT_COUNT 64
/* Ids differ in every byte, so that no two hosts have the same tag. */
#define HOST_ID_FIRST 0x51a70001u
#define HOST_ID_STEP 0x00010101u
#define US_PER_MS 1000
#define SUBJECTS_PER_FOREIGN_FORM 100

/* A host to start; with host_id 0 or port 0, it gets a new id or address. */
struct host_spec {
	uint32_t service;
	uint64_t host_id;
	struct endpoint endpoint;
};

/*
 * Writes the name of a service to name, which has SOAK_SERVICE_NAME_BYTES, and
 * returns it.
 */
const char *soak_hosts_service_name(uint32_t service, char *name)
{
	g_snprintf(name, SOAK_SERVICE_NAME_BYTES, "svc-%u", service);
	return name;
}

static struct faulty_node_host entry_of(const struct soak_host *host,
					bool is_ready)
{
	return (struct faulty_node_host){
		.host_id = host->host_id,
		.service = host->service,
		.zone = soak_host_zone(host),
		.endpoint = host->endpoint,
		.is_ready = is_ready,
	};
}

static void post_host_event(const struct soak_hosts *hosts,
			    const struct soak_host *host,
			    enum soak_fleet_event_kind kind, bool is_planned)
{
	struct soak_fleet_event fleet_event = {
		.kind = kind,
		.at_ms = task_now_ms(),
		.subject = host->index,
		.service = host->service,
		.zone = soak_host_zone(host),
		.is_planned = is_planned,
	};
	struct faulty_node_host entry =
		entry_of(host, kind == SOAK_FLEET_EVENT_HOST_READY);

	checker_task_post_fleet_event(hosts->options.checker, &fleet_event);
	if (hosts->options.faulty_node)
		faulty_node_set_host(hosts->options.faulty_node, &entry);
}

/* Returns a host's options; service is the name that its entry has. */
static struct fake_host_options fake_options(const struct soak_hosts *hosts,
					     const struct soak_host *host,
					     const char *service)
{
	return (struct fake_host_options){
		.index = host->index,
		.host_id = host->host_id,
		.born_ms = host->born_ms,
		.service = service,
		.zone = node_settings_zone(host->index),
		.listen = host->endpoint,
		.caller_port = soak_net_endpoint(SOAK_NET_CALLER, 0).port,
		.slot_count = SLOT_COUNT,
		.response_delay_ms = hosts->options.response_delay_ms,
		.is_executing_duplicates =
			hosts->options.is_executing_duplicates,
		.store = hosts->options.kv,
		.observer = {hosts->options.checker,
			     checker_task_post_flow_event},
	};
}

static struct fake_host *start_fake(struct soak_hosts *hosts,
				    const struct soak_host *host,
				    GError **error)
{
	char name[SOAK_SERVICE_NAME_BYTES];
	struct fake_host_options options = fake_options(
		hosts, host, soak_hosts_service_name(host->service, name));

	return fake_host_new(&options, error);
}

static void host_free(gpointer data)
{
	struct soak_host *host = data;

	fake_host_free(host->fake);
	g_free(host);
}

static bool add_host(struct soak_hosts *hosts, const struct host_spec *spec,
		     GError **error)
{
	struct soak_host *host = g_new0(struct soak_host, 1);

	host->index = hosts->hosts->len;
	host->service = spec->service;
	host->host_id = spec->host_id;
	host->endpoint = spec->endpoint;
	host->born_ms = (uint64_t)g_get_real_time() / US_PER_MS;
	if (host->host_id == 0)
		host->host_id =
			HOST_ID_FIRST + (uint64_t)host->index * HOST_ID_STEP;
	if (host->endpoint.port == 0)
		host->endpoint = soak_net_endpoint(SOAK_NET_HOST,
						   hosts->next_address_index++);
	g_ptr_array_add(hosts->hosts, host);
	post_host_event(hosts, host, SOAK_FLEET_EVENT_HOST_READY, true);
	host->fake = start_fake(hosts, host, error);
	return host->fake != NULL;
}

static void add_host_or_report(struct soak_hosts *hosts,
			       const struct host_spec *spec)
{
	GError *error = NULL;

	if (add_host(hosts, spec, &error))
		return;
	g_printerr("soak: cannot start a host: %s\n", error->message);
	g_error_free(error);
}

/* Starts all hosts. Free them with soak_hosts_free. Fails with TASK_ERROR. */
struct soak_hosts *soak_hosts_new(const struct soak_hosts_options *options,
				  GError **error)
{
	struct soak_hosts *hosts = g_new0(struct soak_hosts, 1);
	uint32_t count = options->service_count * options->hosts_per_service;

	hosts->options = *options;
	hosts->hosts = g_ptr_array_new_with_free_func(host_free);
	for (uint32_t i = 0; i < count; i++) {
		struct host_spec spec = {.service = i % options->service_count};

		if (add_host(hosts, &spec, error))
			continue;
		soak_hosts_free(hosts);
		return NULL;
	}
	return hosts;
}

/* Stops and frees all hosts; NULL is allowed. */
void soak_hosts_free(struct soak_hosts *hosts)
{
	if (!hosts)
		return;
	g_ptr_array_free(hosts->hosts, TRUE);
	g_free(hosts);
}

static void schedule_callback(struct soak_hosts *hosts,
			      const struct soak_host *host, int64_t due_ms,
			      void (*callback)(void *context, uint32_t subject,
					       int64_t now_ms))
{
	struct soak_timer timer = {due_ms, hosts, host->index, callback};

	soak_timers_add(hosts->options.timers, &timer);
}

static void remove_entry(const struct soak_hosts *hosts,
			 const struct soak_host *host)
{
	char *key = fake_host_entry_key(host->host_id);

	fake_kv_remove(hosts->options.kv, key);
	g_free(key);
}

static void stop_host(struct soak_hosts *hosts, struct soak_host *host,
		      bool is_planned)
{
	post_host_event(hosts, host, SOAK_FLEET_EVENT_HOST_STOPPED, is_planned);
	fake_host_free(host->fake);
	host->fake = NULL;
}

static void stop_drained_host(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_hosts *hosts = context;
	struct soak_host *host = soak_hosts_at(hosts, subject);

	if (!host->fake)
		return;
	stop_host(hosts, host, true);
	remove_entry(hosts, host);
}

/* Starts a new host and drains an old one of the same service. */
void soak_hosts_replace(struct soak_hosts *hosts, uint32_t subject,
			int64_t now_ms)
{
	struct soak_host *host = soak_hosts_pick(hosts, subject);
	struct host_spec spec = {.service = host ? host->service : 0};

	if (!host)
		return;
	add_host_or_report(hosts, &spec);
	host->is_draining = true;
	fake_host_drain(host->fake);
	post_host_event(hosts, host, SOAK_FLEET_EVENT_HOST_DRAINING, true);
	schedule_callback(hosts, host, now_ms + DRAIN_MS, stop_drained_host);
}

static void remove_expired_entry(void *context, uint32_t subject,
				 int64_t now_ms)
{
	const struct soak_host *host = soak_hosts_at(context, subject);

	if (!host->is_replaced)
		remove_entry(context, host);
}

static void restart_host(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_hosts *hosts = context;
	struct soak_host *host = soak_hosts_at(hosts, subject);
	struct host_spec spec = {host->service, host->host_id, host->endpoint};

	host->is_replaced = true;
	add_host_or_report(hosts, &spec);
}

/* Crashes a host, and restarts it under the same id after the duration. */
void soak_hosts_crash(struct soak_hosts *hosts, uint32_t subject,
		      uint32_t duration_ms, int64_t now_ms)
{
	struct soak_host *host = soak_hosts_pick(hosts, subject);

	if (!host)
		return;
	stop_host(hosts, host, false);
	schedule_callback(hosts, host, now_ms + ENTRY_TTL_MS,
			  remove_expired_entry);
	schedule_callback(hosts, host, now_ms + duration_ms, restart_host);
}

/*
 * Crashes a host and starts one of another service at its address, and a
 * replacement at a new address.
 */
void soak_hosts_reuse_address(struct soak_hosts *hosts, uint32_t subject,
			      int64_t now_ms)
{
	struct soak_host *host = soak_hosts_pick(hosts, subject);
	struct host_spec replacement = {.service = host ? host->service : 0};
	struct host_spec new_owner;

	if (!host)
		return;
	new_owner = (struct host_spec){
		.service = (host->service + 1) % hosts->options.service_count,
		.endpoint = host->endpoint,
	};
	stop_host(hosts, host, false);
	add_host_or_report(hosts, &new_owner);
	add_host_or_report(hosts, &replacement);
	schedule_callback(hosts, host, now_ms + ENTRY_TTL_MS,
			  remove_expired_entry);
}

/* Picks a draining host, or a ready one whose service has another one. */
static struct soak_host *pick_for_foreign_entry(const struct soak_hosts *hosts,
						uint32_t subject)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++) {
		struct soak_host *host =
			soak_hosts_at(hosts, (subject + i) % hosts->hosts->len);

		if (host->fake && !host->is_entry_foreign &&
		    (host->is_draining ||
		     soak_hosts_has_other_usable(hosts, host)))
			return host;
	}
	return NULL;
}

/* The host's next heartbeat replaces the entry of another writer. */
static void end_foreign_entry(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_hosts *hosts = context;
	struct soak_host *host = soak_hosts_at(hosts, subject);
	struct faulty_node_host own = entry_of(host, !host->is_draining);

	host->is_entry_foreign = false;
	if (!host->fake)
		return;
	fake_host_register(host->fake);
	if (hosts->options.faulty_node)
		faulty_node_set_host(hosts->options.faulty_node, &own);
}

/*
 * Replaces a host's entry by one of another writer, which claims that the host
 * is ready and of the next service, until the host's next heartbeat. subject
 * selects the host and, by its hundreds, the form of the entry.
 */
void soak_hosts_write_foreign_entry(struct soak_hosts *hosts, uint32_t subject,
				    uint32_t duration_ms, int64_t now_ms)
{
	struct soak_host *host = pick_for_foreign_entry(
		hosts, subject % SUBJECTS_PER_FOREIGN_FORM);
	struct faulty_node_host claimed;
	struct fake_host_options options;
	char name[SOAK_SERVICE_NAME_BYTES];
	char *key;
	char *text;

	if (!host)
		return;
	claimed = entry_of(host, true);
	claimed.service = (host->service + 1) % hosts->options.service_count;
	options = fake_options(hosts, host,
			       soak_hosts_service_name(claimed.service, name));
	key = fake_host_entry_key(host->host_id);
	text = foreign_entry_format(&options,
				    subject / SUBJECTS_PER_FOREIGN_FORM);
	host->is_entry_foreign = true;
	fake_kv_put(hosts->options.kv, key, text);
	if (hosts->options.faulty_node)
		faulty_node_set_foreign_entry(hosts->options.faulty_node,
					      &claimed);
	schedule_callback(hosts, host, now_ms + duration_ms, end_foreign_entry);
	g_free(text);
	g_free(key);
}

/* Removes all store entries, as if they had expired in a long outage. */
void soak_hosts_remove_entries(struct soak_hosts *hosts)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++)
		remove_entry(hosts, soak_hosts_at(hosts, i));
}

/* Makes all running hosts register in the store again. */
void soak_hosts_register_again(struct soak_hosts *hosts)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++) {
		if (soak_hosts_at(hosts, i)->fake)
			fake_host_register(soak_hosts_at(hosts, i)->fake);
	}
}
