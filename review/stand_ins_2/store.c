#include "world.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define STORE_GROUP 0
#define BODY_BYTES_MAX 16384
#define ROUTE_GROUP 250
#define LIMIT_S 2

static void encode(char *text, const char *value)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(value);

	for (size_t i = 0; i < length; i += 3) {
		uint32_t group = (uint32_t)(uint8_t)value[i] << 16;

		if (i + 1 < length)
			group |= (uint32_t)(uint8_t)value[i + 1] << 8;
		if (i + 2 < length)
			group |= (uint8_t)value[i + 2];
		*text++ = digits[group >> 18];
		*text++ = digits[group >> 12 & 63];
		*text++ = '=';
		*text++ = '=';
		if (i + 1 < length)
			text[-2] = digits[group >> 6 & 63];
		if (i + 2 < length)
			text[-1] = digits[group & 63];
	}
	*text = '\0';
}

/* Makes a call of the store and returns whether the answer is 200. */
static bool call(struct world *world, const char *head, const char *body)
{
	struct sockaddr_in endpoint =
		world_endpoint(world_address(world, STORE_GROUP, 1),
			       (uint16_t)(world->port + 3));
	struct timeval limit = {.tv_sec = LIMIT_S};
	char text[BODY_BYTES_MAX + 512];
	char reply[64] = "";
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int length;
	bool is_done;

	if (fd < 0)
		return false;
	length = snprintf(text, sizeof(text),
			  "%s HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
			  "Content-Type: application/json\r\n"
			  "Content-Length: %zu\r\n\r\n%s",
			  head, strlen(body), body);
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	is_done = connect(fd, (struct sockaddr *)&endpoint, sizeof(endpoint)) ==
			  0 &&
		  send(fd, text, (size_t)length, 0) == length &&
		  recv(fd, reply, sizeof(reply) - 1, 0) > 0 &&
		  strstr(reply, " 200 ") != NULL;
	(void)close(fd);
	return is_done;
}

/* Waits until the store answers. */
bool store_wait(struct world *world)
{
	for (int i = 0; i < 50; i++) {
		if (call(world, "GET /-/kv-range?prefix=op/", ""))
			return true;
		(void)usleep(100000);
	}
	return false;
}

/* Writes an item as the operator or a host does. */
bool store_put(struct world *world, const char *key, const char *value)
{
	char encoded[BODY_BYTES_MAX];
	char body[BODY_BYTES_MAX + 256];

	encode(encoded, value);
	(void)snprintf(body, sizeof(body),
		       "{\"expected\":[],\"puts\":[{\"key\":\"%s\","
		       "\"value\":\"%s\",\"lease\":0}],\"remove\":[]}",
		       key, encoded);
	return call(world, "POST /-/kv-txn", body);
}

/* Removes an item. */
bool store_remove(struct world *world, const char *key)
{
	char body[256];

	world_log(world, "removed key=%s", key);
	(void)snprintf(body, sizeof(body),
		       "{\"expected\":[],\"puts\":[],\"remove\":[\"%s\"]}",
		       key);
	return call(world, "POST /-/kv-txn", body);
}

/*
 * Writes a configuration in which route i goes to service service_of_route[i].
 * The answer of the store is the acknowledgement.
 */
bool store_put_config(struct world *world, uint32_t version,
		      const int *service_of_route, const char *const *kinds,
		      int route_count)
{
	char text[8192];
	size_t length = 0;
	bool is_done;

	length += (size_t)snprintf(text, sizeof(text),
				   "{\"version\":%u,\"routes\":[", version);
	for (int i = 0; i < route_count; i++) {
		uint32_t address = world_address(world, ROUTE_GROUP, 1 + i);

		length += (size_t)snprintf(
			text + length, sizeof(text) - length,
			"%s{\"name\":\"route-%d\",\"hostname\":\"%u.%u.%u.%u\","
			"\"prefix\":\"/443/\",\"type\":\"%s\","
			"\"timeoutMs\":4000,\"targetLatencyMs\":300,"
			"\"priority\":1,\"service\":\"service-%d\","
			"\"maxAttempts\":2}",
			i ? "," : "", i, address >> 24, address >> 16 & 255,
			address >> 8 & 255, address & 255, kinds[i],
			service_of_route[i]);
	}
	(void)snprintf(text + length, sizeof(text) - length,
		       "],\"services\":[{\"name\":\"service-0\"},"
		       "{\"name\":\"service-1\"}],"
		       "\"limits\":{\"idleTimeoutMs\":15000}}");
	is_done = store_put(world, "op/config", text);
	world_log(world, "config version=%u acknowledged=%d", version, is_done);
	return is_done;
}

/*
 * Writes a configuration with one route, route 0, that is spread evenly over
 * count services.
 */
bool store_put_back_ends(struct world *world, uint32_t version, int count)
{
	uint32_t address = world_address(world, ROUTE_GROUP, 1);
	char text[8192];
	char services[4096] = "";
	size_t length = 0;
	size_t services_length = 0;
	bool is_done;

	length += (size_t)snprintf(
		text, sizeof(text),
		"{\"version\":%u,\"routes\":[{\"name\":\"route-0\","
		"\"hostname\":\"%u.%u.%u.%u\",\"prefix\":\"/443/\","
		"\"type\":\"safe\",\"timeoutMs\":4000,"
		"\"targetLatencyMs\":300,\"priority\":1,\"maxAttempts\":2,"
		"\"backends\":[",
		version, address >> 24, address >> 16 & 255, address >> 8 & 255,
		address & 255);
	for (int i = 0; i < count; i++) {
		length += (size_t)snprintf(text + length, sizeof(text) - length,
					   "%s{\"service\":\"service-%d\","
					   "\"weight\":10}",
					   i ? "," : "", i);
		services_length += (size_t)snprintf(
			services + services_length,
			sizeof(services) - services_length,
			"%s{\"name\":\"service-%d\"}", i ? "," : "", i);
	}
	(void)snprintf(text + length, sizeof(text) - length,
		       "]}],\"services\":[%s],"
		       "\"limits\":{\"idleTimeoutMs\":15000}}",
		       services);
	is_done = store_put(world, "op/config", text);
	world_log(world, "config version=%u back_ends=%d acknowledged=%d",
		  version, count, is_done);
	return is_done;
}
