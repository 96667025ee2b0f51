#include "world.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BEAT_MS 1200
#define SILENT_BEAT_COUNT 3
#define RESEND_FIRST_MS 200
#define RESEND_MAX_MS 1600
#define RESEND_COUNT_MAX 8
#define SLOT_COUNT 3
#define HOST_GROUP 100

static void write_entry(struct world *world, struct host *host)
{
	char key[64];
	char value[512];
	char address[INET_ADDRSTRLEN];
	struct sockaddr_in endpoint = world_endpoint(host->address, 0);

	(void)inet_ntop(AF_INET, &endpoint.sin_addr, address, sizeof(address));
	(void)snprintf(key, sizeof(key), "servers/i-%08x", host->id);
	(void)snprintf(value, sizeof(value),
		       "{\"service\":\"service-%d\",\"address\":\"%s:%u\","
		       "\"zone\":\"zone-%c\",\"version\":\"v1\","
		       "\"concurrency\":%d,\"state\":\"ready\","
		       "\"warmupRemainingMs\":0,\"sequence\":%u,"
		       "\"born\":%" PRId64 "}",
		       host->service, address, world->port + 4U,
		       'a' + host->zone, SLOT_COUNT, ++host->sequence,
		       host->born_ms);
	(void)store_put(world, key, value);
	host->is_listed = true;
	host->beat_ms = now_ms();
}

/* Adds a host and registers it; its entry names its present start. */
int host_add(struct world *world, uint32_t id, int service, int zone)
{
	struct host *host = &world->hosts[world->host_count];

	host->id = id;
	host->service = service;
	host->zone = zone;
	host->address =
		world_address(world, HOST_GROUP + zone, world->host_count + 1);
	host->born_ms = 1700000000000LL + now_ms();
	host->socket = world_udp(host->address, (uint16_t)(world->port + 4));
	write_entry(world, host);
	return world->host_count++;
}

static void send_packet(struct world *world, struct host *host,
			struct packet *packet)
{
	uint8_t bytes[DATAGRAM_BYTES_MAX];
	uint32_t length = packet_write(bytes, packet);
	struct sockaddr_in to = world_endpoint(packet->to, world->port);

	if (world_random(world, 1000000) < world->loss_ppm) {
		world_log(world, "lost host=%08x port=%u flags=%u", host->id,
			  packet->to_port, packet->flags);
		return;
	}
	(void)sendto(host->socket, bytes, length, 0, (struct sockaddr *)&to,
		     sizeof(to));
}

static struct packet packet_of(const struct world *world,
			       const struct host_flow *flow, uint8_t flags)
{
	return (struct packet){
		.flags = flags,
		.from = flow->service_address,
		.from_port = flow->service_port,
		.to = world_address(world, 200, 1),
		.to_port = flow->port,
		.echo = flow->echo,
		.sequence = flow->next_sequence,
		.acknowledged = flow->expected_sequence,
	};
}

static void arm(struct host_flow *flow)
{
	flow->resend_interval_ms = RESEND_FIRST_MS;
	flow->resend_count = 0;
	flow->resend_ms = now_ms() + flow->resend_interval_ms;
}

static void send_opening_reply(struct world *world, struct host *host,
			       struct host_flow *flow)
{
	struct packet packet = packet_of(world, flow, PACKET_SYN | PACKET_ACK);

	packet.sequence = flow->first_sequence;
	send_packet(world, host, &packet);
}

static void send_response(struct world *world, struct host *host,
			  struct host_flow *flow)
{
	struct packet packet = packet_of(world, flow, PACKET_ACK);
	int length = snprintf((char *)packet.data, sizeof(packet.data),
			      "HTTP/1.1 200 OK\r\n"
			      "Shallotstream-Request-Id: %08x\r\n"
			      "Content-Length: 0\r\n\r\n",
			      flow->request);

	packet.length = (uint16_t)length;
	flow->response_bytes = packet.length;
	send_packet(world, host, &packet);
}

static void send_ack(struct world *world, struct host *host,
		     struct host_flow *flow)
{
	struct packet packet = packet_of(world, flow, PACKET_ACK);

	if (flow->is_response_sent)
		packet.sequence += flow->response_bytes;
	send_packet(world, host, &packet);
}

static void send_reset(struct world *world, struct host *host,
		       const struct packet *received)
{
	struct packet packet = {
		.flags = PACKET_RST,
		.from = received->to,
		.from_port = received->to_port,
		.to = received->from,
		.to_port = received->from_port,
		.echo = received->echo,
		.sequence = received->acknowledged,
	};

	world_log(world, "host_reset host=%08x port=%u", host->id,
		  received->from_port);
	send_packet(world, host, &packet);
}

static struct host_flow *find(struct host *host, uint16_t port)
{
	for (int i = 0; i < HOST_FLOW_COUNT_MAX; i++) {
		if (host->flows[i].is_used && host->flows[i].port == port)
			return &host->flows[i];
	}
	return NULL;
}

static struct host_flow *find_free(struct host *host)
{
	for (int i = 0; i < HOST_FLOW_COUNT_MAX; i++) {
		if (!host->flows[i].is_used)
			return &host->flows[i];
	}
	return NULL;
}

static void handle_opening(struct world *world, struct host *host,
			   const struct packet *packet)
{
	struct host_flow *flow = find(host, packet->from_port);

	if (flow && flow->opening_sequence == packet->sequence) {
		flow->echo = packet->echo;
		if (!flow->is_open)
			send_opening_reply(world, host, flow);
		return;
	}
	if (!flow)
		flow = find_free(host);
	if (!flow)
		return;
	*flow = (struct host_flow){
		.is_used = true,
		.port = packet->from_port,
		.service_address = packet->to,
		.service_port = packet->to_port,
		.echo = packet->echo,
		.opening_sequence = packet->sequence,
		.copy_number = packet->acknowledged,
		.first_sequence = world_random(world, UINT32_MAX),
		.expected_sequence = packet->sequence + 1,
	};
	flow->next_sequence = flow->first_sequence + 1;
	send_opening_reply(world, host, flow);
	arm(flow);
}

static void run_request(struct world *world, struct host *host,
			struct host_flow *flow, const struct packet *packet)
{
	char text[DATA_BYTES_MAX + 1];
	const char *id;

	memcpy(text, packet->data, packet->length);
	text[packet->length] = '\0';
	id = strstr(text, "Shallotstream-Request-Id: ");
	if (flow->is_response_sent)
		flow->next_sequence += flow->response_bytes;
	flow->is_response_sent = false;
	flow->is_running = true;
	flow->request = 0;
	if (id)
		(void)sscanf(id, "Shallotstream-Request-Id: %x",
			     &flow->request);
	flow->expected_sequence += packet->length;
	flow->due_ms = now_ms() + world->work_min_ms +
		       world_random(world, world->work_max_ms -
						   world->work_min_ms + 1);
	world->run_count++;
	world_log(world, "run host=%08x service=%d port=%u request=%08x",
		  host->id, host->service, flow->port, flow->request);
}

/* A second packet is acknowledged at once, as is one that comes again. */
static void handle_data(struct world *world, struct host *host,
			struct host_flow *flow, const struct packet *packet)
{
	if (packet->sequence == flow->expected_sequence)
		run_request(world, host, flow, packet);
	else if (flow->is_response_sent)
		send_response(world, host, flow);
	else
		send_ack(world, host, flow);
}

static void handle_packet(struct world *world, struct host *host,
			  const struct packet *packet)
{
	struct host_flow *flow = find(host, packet->from_port);

	if (packet->flags & PACKET_RST) {
		if (flow)
			flow->is_used = false;
		return;
	}
	if ((packet->flags & (PACKET_SYN | PACKET_ACK)) == PACKET_SYN) {
		handle_opening(world, host, packet);
		return;
	}
	if (flow && !flow->is_open) {
		flow->is_open =
			packet->acknowledged == flow->first_sequence + 1;
		flow->is_used = flow->is_open;
		flow->resend_ms = 0;
	}
	if (!flow || !flow->is_open) {
		send_reset(world, host, packet);
		return;
	}
	flow->echo = packet->echo;
	if (flow->is_response_sent &&
	    packet->acknowledged == flow->next_sequence + flow->response_bytes)
		flow->resend_ms = 0;
	if (packet->flags & PACKET_FIN) {
		struct packet reply =
			packet_of(world, flow, PACKET_ACK | PACKET_FIN);

		send_packet(world, host, &reply);
		flow->is_used = false;
	} else if (packet->length > 0) {
		handle_data(world, host, flow, packet);
	}
}

/* Reads what has arrived; a dark host reads nothing of it. */
void host_receive(struct world *world, int number)
{
	struct host *host = &world->hosts[number];
	uint8_t bytes[DATAGRAM_BYTES_MAX];
	struct packet packet;
	ssize_t length;

	while ((length = recv(host->socket, bytes, sizeof(bytes),
			      MSG_DONTWAIT)) > 0) {
		uint64_t id = 0;

		if (host->is_dark || length < HOST_ID_BYTES)
			continue;
		for (int i = 0; i < HOST_ID_BYTES; i++)
			id = id << 8 | bytes[i];
		if ((id == 0 || id == host->id) &&
		    packet_read(&packet, bytes + HOST_ID_BYTES,
				(uint32_t)length - HOST_ID_BYTES) &&
		    packet_is_genuine(&packet))
			handle_packet(world, host, &packet);
	}
}

static void resend(struct world *world, struct host *host,
		   struct host_flow *flow)
{
	if (++flow->resend_count > RESEND_COUNT_MAX) {
		flow->is_used = false;
		return;
	}
	flow->resend_interval_ms = flow->resend_interval_ms * 2 < RESEND_MAX_MS
					   ? flow->resend_interval_ms * 2
					   : RESEND_MAX_MS;
	flow->resend_ms = now_ms() + flow->resend_interval_ms;
	if (flow->is_open)
		send_response(world, host, flow);
	else
		send_opening_reply(world, host, flow);
}

static void tick_flow(struct world *world, struct host *host,
		      struct host_flow *flow)
{
	if (flow->is_running && now_ms() >= flow->due_ms) {
		flow->is_running = false;
		flow->is_response_sent = true;
		send_response(world, host, flow);
		arm(flow);
	} else if (flow->resend_ms != 0 && now_ms() >= flow->resend_ms) {
		resend(world, host, flow);
	}
}

/* Sends what is due, and renews the entry or lets it expire. */
void host_tick(struct world *world, int number)
{
	struct host *host = &world->hosts[number];
	char key[64];

	if (!host->is_dark) {
		for (int i = 0; i < HOST_FLOW_COUNT_MAX; i++) {
			if (host->flows[i].is_used)
				tick_flow(world, host, &host->flows[i]);
		}
		if (now_ms() - host->beat_ms >= BEAT_MS)
			write_entry(world, host);
	} else if (host->is_listed &&
		   now_ms() - host->beat_ms >= BEAT_MS * SILENT_BEAT_COUNT) {
		(void)snprintf(key, sizeof(key), "servers/i-%08x", host->id);
		(void)store_remove(world, key);
		host->is_listed = false;
	}
}

/* The host falls silent and forgets its flows. */
void host_crash(struct world *world, int number)
{
	struct host *host = &world->hosts[number];

	host->is_dark = true;
	host->dark_since_ms = now_ms();
	memset(host->flows, 0, sizeof(host->flows));
	world_log(world, "crash host=%08x zone=%c service=%d", host->id,
		  'a' + host->zone, host->service);
}

/* The host starts again under its id. */
void host_return(struct world *world, int number)
{
	struct host *host = &world->hosts[number];

	host->is_dark = false;
	host->born_ms = 1700000000000LL + now_ms();
	host->sequence = 0;
	world_log(world, "start host=%08x service=%d", host->id, host->service);
	write_entry(world, host);
}

/* Returns the host whose handshake a sequence number ends, or -1. */
int host_of_sequence(struct world *world, uint16_t port, uint32_t sequence)
{
	for (int i = 0; i < world->host_count; i++) {
		const struct host_flow *flow = find(&world->hosts[i], port);

		if (flow && flow->first_sequence == sequence)
			return i;
	}
	return -1;
}

/* Returns which copy of a flow's opening packet a host took. */
uint32_t host_copy_number(struct world *world, int number, uint16_t port)
{
	const struct host_flow *flow = find(&world->hosts[number], port);

	return flow && flow->copy_number < 3 ? flow->copy_number : 0;
}
