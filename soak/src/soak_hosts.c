#include "soak_hosts.h"

#include "node_settings.h"
#include "soak_net.h"

#include <fakes/fake_host.h>
#include <task/task.h>

/*
 * A host that leaves serves on for longer than changes may take to be in
 * force, so that a node that did not learn of it shows.
 */
#define DRAIN_MS 6000
/* An entry lapses after three heartbeats, of half a second here. */
#define LAPSE_MS 1500
#define SLOT_COUNT 64
/* Apart in all bytes, so that no two have the same tag. */
#define HOST_ID_FIRST 0x51a70001u
#define HOST_ID_STEP 0x00010101u
#define US_PER_MS 1000

/* One start of a host. */
struct soak_host {
	uint32_t index;
	uint64_t host_id;
	uint32_t service;
	struct endpoint endpoint;
	struct fake_host *fake;
	bool is_draining;
	bool is_replaced;
};

struct soak_hosts {
	struct soak_hosts_options options;
	GPtrArray *hosts;
	uint32_t next_address;
};

/* What a new host is; a place it takes over, or none. */
struct host_plan {
	uint32_t service;
	uint64_t host_id;
	struct endpoint endpoint;
};

/* Returns a service's name, written to a buffer of the caller's. */
const char *soak_hosts_service_name(uint32_t service, char *name)
{
	g_snprintf(name, SOAK_SERVICE_NAME_BYTES, "svc-%u", service);
	return name;
}

static struct soak_host *host_at(const struct soak_hosts *hosts, uint32_t index)
{
	return g_ptr_array_index(hosts->hosts, index);
}

static void tell(const struct soak_hosts *hosts, const struct soak_host *host,
		 enum soak_fact_kind kind, bool is_planned)
{
	struct soak_fact fact = {
		.kind = kind,
		.at_ms = task_now_ms(),
		.subject = host->index,
		.service = host->service,
		.is_planned = is_planned,
	};
	struct faulty_node_host news = {
		.host_id = host->host_id,
		.service = host->service,
		.endpoint = host->endpoint,
		.is_ready = kind == SOAK_HOST_READY,
	};

	judge_task_fact(hosts->options.judge, &fact);
	if (hosts->options.wrong)
		faulty_node_set_host(hosts->options.wrong, &news);
}

static struct fake_host *start_fake(struct soak_hosts *hosts,
				    const struct soak_host *host,
				    GError **error)
{
	char service[SOAK_SERVICE_NAME_BYTES];
	struct fake_host_options options = {
		.index = host->index,
		.host_id = host->host_id,
		.born_ms = (uint64_t)g_get_real_time() / US_PER_MS,
		.service = soak_hosts_service_name(host->service, service),
		.zone = node_settings_zone(host->index),
		.listen = host->endpoint,
		.caller_port = soak_net_endpoint(SOAK_NET_CALLER, 0).port,
		.slot_count = SLOT_COUNT,
		.answer_ms = hosts->options.answer_ms,
		.is_executing_duplicates =
			hosts->options.is_executing_duplicates,
		.store = hosts->options.kv,
		.observer = {hosts->options.judge, judge_task_event},
	};

	return fake_host_new(&options, error);
}

static void host_free(gpointer data)
{
	struct soak_host *host = data;

	fake_host_free(host->fake);
	g_free(host);
}

static bool add(struct soak_hosts *hosts, const struct host_plan *plan,
		GError **error)
{
	struct soak_host *host = g_new0(struct soak_host, 1);

	host->index = hosts->hosts->len;
	host->service = plan->service;
	host->host_id = plan->host_id;
	host->endpoint = plan->endpoint;
	if (host->host_id == 0)
		host->host_id =
			HOST_ID_FIRST + (uint64_t)host->index * HOST_ID_STEP;
	if (host->endpoint.port == 0)
		host->endpoint =
			soak_net_endpoint(SOAK_NET_HOST, hosts->next_address++);
	g_ptr_array_add(hosts->hosts, host);
	tell(hosts, host, SOAK_HOST_READY, true);
	host->fake = start_fake(hosts, host, error);
	return host->fake != NULL;
}

static void add_or_report(struct soak_hosts *hosts,
			  const struct host_plan *plan)
{
	GError *error = NULL;

	if (add(hosts, plan, &error))
		return;
	g_printerr("soak: a host does not start: %s\n", error->message);
	g_error_free(error);
}

/* Starts all hosts. The caller frees them. Fails with TASK_ERROR. */
struct soak_hosts *soak_hosts_new(const struct soak_hosts_options *options,
				  GError **error)
{
	struct soak_hosts *hosts = g_new0(struct soak_hosts, 1);
	uint32_t count = options->service_count * options->hosts_per_service;

	hosts->options = *options;
	hosts->hosts = g_ptr_array_new_with_free_func(host_free);
	for (uint32_t i = 0; i < count; i++) {
		struct host_plan plan = {.service = i % options->service_count};

		if (add(hosts, &plan, error))
			continue;
		soak_hosts_free(hosts);
		return NULL;
	}
	return hosts;
}

/* Stops all hosts; NULL is allowed. */
void soak_hosts_free(struct soak_hosts *hosts)
{
	if (!hosts)
		return;
	g_ptr_array_free(hosts->hosts, TRUE);
	g_free(hosts);
}

static bool is_ready(const struct soak_host *host)
{
	return host->fake && !host->is_draining;
}

static uint32_t count_ready(const struct soak_hosts *hosts, uint32_t service)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < hosts->hosts->len; i++)
		count += host_at(hosts, i)->service == service &&
			 is_ready(host_at(hosts, i));
	return count;
}

/* Picks a host whose service has another one; NULL where there is none. */
static struct soak_host *pick(const struct soak_hosts *hosts, uint32_t subject)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++) {
		struct soak_host *host =
			host_at(hosts, (subject + i) % hosts->hosts->len);

		if (is_ready(host) && count_ready(hosts, host->service) > 1)
			return host;
	}
	return NULL;
}

static void later(struct soak_hosts *hosts, const struct soak_host *host,
		  int64_t due_ms,
		  void (*act)(void *context, uint32_t subject, int64_t now_ms))
{
	struct soak_step step = {due_ms, hosts, host->index, act};

	soak_steps_add(hosts->options.steps, &step);
}

static void remove_entry(const struct soak_hosts *hosts,
			 const struct soak_host *host)
{
	char *key = fake_host_entry_key(host->host_id);

	fake_kv_remove(hosts->options.kv, key);
	g_free(key);
}

static void stop(struct soak_hosts *hosts, struct soak_host *host,
		 bool is_planned)
{
	tell(hosts, host, SOAK_HOST_GONE, is_planned);
	fake_host_free(host->fake);
	host->fake = NULL;
}

static void leave(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_hosts *hosts = context;
	struct soak_host *host = host_at(hosts, subject);

	if (!host->fake)
		return;
	stop(hosts, host, true);
	remove_entry(hosts, host);
}

/* Starts a new host of a service and has one of the old ones leave. */
void soak_hosts_replace(struct soak_hosts *hosts, uint32_t subject,
			int64_t now_ms)
{
	struct soak_host *host = pick(hosts, subject);
	struct host_plan plan = {.service = host ? host->service : 0};

	if (!host)
		return;
	add_or_report(hosts, &plan);
	host->is_draining = true;
	fake_host_drain(host->fake);
	tell(hosts, host, SOAK_HOST_DRAINING, true);
	later(hosts, host, now_ms + DRAIN_MS, leave);
}

static void lapse(void *context, uint32_t subject, int64_t now_ms)
{
	const struct soak_host *host = host_at(context, subject);

	if (!host->is_replaced)
		remove_entry(context, host);
}

static void come_back(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_hosts *hosts = context;
	struct soak_host *host = host_at(hosts, subject);
	struct host_plan plan = {host->service, host->host_id, host->endpoint};

	host->is_replaced = true;
	add_or_report(hosts, &plan);
}

/* Ends a host at once; after the duration it starts under the same id. */
void soak_hosts_crash(struct soak_hosts *hosts, uint32_t subject,
		      uint32_t duration_ms, int64_t now_ms)
{
	struct soak_host *host = pick(hosts, subject);

	if (!host)
		return;
	stop(hosts, host, false);
	later(hosts, host, now_ms + LAPSE_MS, lapse);
	later(hosts, host, now_ms + duration_ms, come_back);
}

/* Ends a host at once; one of another service starts at its address. */
void soak_hosts_reuse_address(struct soak_hosts *hosts, uint32_t subject,
			      int64_t now_ms)
{
	struct soak_host *host = pick(hosts, subject);
	struct host_plan same = {.service = host ? host->service : 0};
	struct host_plan other;

	if (!host)
		return;
	other = (struct host_plan){
		.service = (host->service + 1) % hosts->options.service_count,
		.endpoint = host->endpoint,
	};
	stop(hosts, host, false);
	add_or_report(hosts, &other);
	add_or_report(hosts, &same);
	later(hosts, host, now_ms + LAPSE_MS, lapse);
}

/* Removes all entries, as a store does that was down for too long. */
void soak_hosts_lapse(struct soak_hosts *hosts)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++)
		remove_entry(hosts, host_at(hosts, i));
}

/* Has all hosts that live write their entries again. */
void soak_hosts_enter_again(struct soak_hosts *hosts)
{
	for (uint32_t i = 0; i < hosts->hosts->len; i++) {
		if (host_at(hosts, i)->fake)
			fake_host_register(host_at(hosts, i)->fake);
	}
}
