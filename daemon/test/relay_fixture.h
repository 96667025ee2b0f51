#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include <check.h>
#include <daemon/settings.h>
#include <daemon/shallotd.h>
#include <fakes/fake_kv.h>
#include <fakes/loopback.h>
#include <platform/echo_packet.h>
#include <sys/socket.h>
#include <task/task.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define CONFIG_KEY "op/config"
#define POLL_INTERVAL_US 2000

/* Opens a UDP socket that is bound to an endpoint. */
static inline int relay_fixture_bind_udp(const struct endpoint *endpoint)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, endpoint);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&storage, length), 0);
	return fd;
}

/* Starts a fake store on a free loopback port. */
static inline struct fake_kv *relay_fixture_start_store(void)
{
	struct fake_kv_options options = {.listen = loopback_free_endpoint()};
	struct fake_kv *kv = fake_kv_new(&options, NULL);

	ck_assert_ptr_nonnull(kv);
	return kv;
}

/* Returns the settings of a node that forwards by tag and reads from kv. */
static inline struct settings relay_fixture_settings(const char *name,
						     const struct fake_kv *kv)
{
	return (struct settings){
		.node_name = (char *)name,
		.zone = "north-a",
		.region = "north",
		.listen_packets = loopback_free_endpoint(),
		.listen_admin = loopback_free_endpoint(),
		.log_level = 4,
		.log_rate_per_s = 100,
		.flow_capacity = 1024,
		.drain_timeout_ms = 5000,
		.platform = {.store = fake_kv_endpoint(kv)},
		.relay = {.mode = DELIVERY_BY_TAG,
			  .listen_peers = loopback_free_endpoint()},
	};
}

/* Writes a configuration with one route, 198.18.0.1:443 to service s. */
static inline void relay_fixture_write_config(struct fake_kv *kv,
					      uint32_t version)
{
	char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":[{\"hostname\":\"198.18.0.1\","
		"\"prefix\":\"/443/\",\"service\":\"s\"}],"
		"\"limits\":{\"idleTimeoutMs\":15000}}",
		version);

	fake_kv_put(kv, CONFIG_KEY, text);
	g_free(text);
}

/*
 * Enters a target of service s in the store. Returns its socket, which is to be
 * closed.
 */
static inline int relay_fixture_add_target(struct fake_kv *kv,
					   uint32_t target_id, const char *zone)
{
	struct endpoint target = loopback_free_endpoint();
	char address[ENDPOINT_TEXT_BYTES];
	char *key = g_strdup_printf("servers/i-%x", target_id);
	char *text = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"concurrency\":3,\"state\":\"ready\","
		"\"warmupRemainingMs\":0,\"version\":\"v1\",\"sequence\":1,"
		"\"born\":1700000000123}",
		endpoint_format(&target, address), zone);
	int fd = relay_fixture_bind_udp(&target);

	fake_kv_put(kv, key, text);
	g_free(text);
	g_free(key);
	return fd;
}

/* Starts a node of a zone; settings must outlive it. */
static inline struct shallotd *
relay_fixture_start_node(struct settings *settings, const char *name,
			 const char *zone, const struct fake_kv *kv)
{
	GError *error = NULL;
	struct shallotd *node;

	*settings = relay_fixture_settings(name, kv);
	settings->zone = (char *)zone;
	node = shallotd_new(settings, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	return node;
}

/*
 * Writes the header of a packet that the second loopback address sends from a
 * port to 198.18.0.1:443.
 */
static inline void relay_fixture_write_packet(uint8_t *bytes, uint16_t port,
					      uint8_t flags, uint32_t tag)
{
	struct relay_packet reversed = {.tag = 0};

	reversed.service.addr = loopback_second_addr();
	reversed.service.port = port;
	endpoint_parse(&reversed.caller, "198.18.0.1:443");
	echo_packet_write_reset(bytes, &reversed);
	bytes[0] = flags;
	echo_packet_set_tag(bytes, tag);
}

#endif
