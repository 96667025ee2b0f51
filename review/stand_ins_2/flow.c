#include "world.h"

#include <string.h>
#include <sys/socket.h>

#define COPY_1_MS 200
#define COPY_2_MS 600
#define OPENING_MS 1400
#define RESEND_FIRST_MS 200
#define RESEND_MAX_MS 1600
#define DEADLINE_MS 4000
#define RESET_WINDOW_BYTES 76800
#define PORT_FIRST 20000

static void send_packet(struct world *world, struct flow *flow, uint8_t flags,
			const char *data, uint32_t length)
{
	uint8_t bytes[DATAGRAM_BYTES_MAX];
	struct packet packet = {
		.flags = flags,
		.from = world_address(world, 200, 1),
		.from_port = flow->port,
		.to = world_address(world, 250, 1 + flow->route),
		.to_port = 443,
		.echo = flow->echo,
		.length = (uint16_t)length,
		.sequence = flow->next_sequence,
		.acknowledged = flow->expected_sequence,
	};
	const struct node *node = router_pick(world, flow);
	struct sockaddr_in to;

	if (flags == PACKET_SYN) {
		packet.sequence = flow->first_sequence;
		packet.acknowledged = flow->copy_count;
		packet.echo = 0;
	}
	if (length > 0)
		memcpy(packet.data, data, length);
	length = packet_write(bytes, &packet);
	if (!node)
		return;
	to = world_endpoint(node->address, world->port);
	(void)sendto(world->caller_socket, bytes, length, 0,
		     (struct sockaddr *)&to, sizeof(to));
}

/* Opens a flow and returns its number, -1 if there are too many. */
int flow_open(struct world *world, int zone, int route, uint32_t requests)
{
	for (int i = 0; i < FLOW_COUNT_MAX; i++) {
		struct flow *flow = &world->flows[i];

		if (flow->phase != FLOW_FREE)
			continue;
		*flow = (struct flow){
			.phase = FLOW_OPENING,
			.port = (uint16_t)(PORT_FIRST + world->next_port++),
			.zone = zone,
			.route = route,
			.host = -1,
			.first_sequence = world_random(world, UINT32_MAX),
			.requests_left = requests,
			.syn_ms = now_ms(),
			.copies_ms = {now_ms(), now_ms(), now_ms()},
		};
		flow->next_sequence = flow->first_sequence + 1;
		world_log(world, "open port=%u route=%d", flow->port, route);
		send_packet(world, flow, PACKET_SYN, NULL, 0);
		return i;
	}
	return -1;
}

static void send_request(struct world *world, struct flow *flow)
{
	char text[DATA_BYTES_MAX];
	int length = snprintf(text, sizeof(text),
			      "POST /r HTTP/1.1\r\nHost: r\r\n"
			      "Shallotstream-Request-Id: %08x\r\n"
			      "Content-Length: 0\r\n\r\n",
			      flow->request);

	flow->request_bytes = (uint32_t)length;
	send_packet(world, flow, PACKET_ACK, text, (uint32_t)length);
}

/* Sends the next request of an open flow. */
void flow_request(struct world *world, struct flow *flow)
{
	flow->phase = FLOW_REQUESTING;
	flow->request = ++world->next_request;
	flow->sent_ms = now_ms();
	flow->used_ms = flow->sent_ms;
	flow->resend_interval_ms = RESEND_FIRST_MS;
	flow->next_ms = flow->sent_ms + RESEND_FIRST_MS;
	world_log(world, "sent port=%u request=%08x", flow->port,
		  flow->request);
	send_request(world, flow);
}

static void fail(struct world *world, struct flow *flow, const char *reason)
{
	world->failed_count++;
	world_log(world, "failed port=%u request=%08x reason=%s", flow->port,
		  flow->request, reason);
	flow->phase = FLOW_ENDED;
}

static void handle_opening_reply(struct world *world, struct flow *flow,
				 const struct packet *packet)
{
	if (flow->phase != FLOW_OPENING ||
	    packet->acknowledged != flow->next_sequence)
		return;
	flow->expected_sequence = packet->sequence + 1;
	flow->opened_ms = now_ms();
	flow->host = host_of_sequence(world, flow->port, packet->sequence);
	world_log(world, "opened port=%u host=%08x", flow->port,
		  flow->host < 0 ? 0 : world->hosts[flow->host].id);
	send_packet(world, flow, PACKET_ACK, NULL, 0);
	if (world->on_open)
		world->on_open(world, flow, flow->host);
	flow_request(world, flow);
}

static void handle_response(struct world *world, struct flow *flow,
			    const struct packet *packet)
{
	char text[DATA_BYTES_MAX + 1];
	char expected[64];

	if (packet->sequence != flow->expected_sequence) {
		send_packet(world, flow, PACKET_ACK, NULL, 0);
		return;
	}
	memcpy(text, packet->data, packet->length);
	text[packet->length] = '\0';
	(void)snprintf(expected, sizeof(expected),
		       "Shallotstream-Request-Id: %08x", flow->request);
	if (!strstr(text, expected)) {
		world_log(world, "foreign_answer port=%u", flow->port);
		return;
	}
	flow->expected_sequence += packet->length;
	flow->next_sequence += flow->request_bytes;
	flow->phase = FLOW_IDLE;
	flow->used_ms = now_ms();
	flow->next_ms = INT64_MAX;
	world->answered_count++;
	world_log(world, "answered port=%u request=%08x", flow->port,
		  flow->request);
	send_packet(world, flow, PACKET_ACK, NULL, 0);
	if (flow->requests_left == 0)
		return;
	if (--flow->requests_left == 0) {
		send_packet(world, flow, PACKET_ACK | PACKET_FIN, NULL, 0);
		flow->phase = FLOW_ENDED;
		return;
	}
	flow->next_ms = now_ms() + 800 + world_random(world, 400);
}

static void handle_reset(struct world *world, struct flow *flow, int sender)
{
	if (flow->phase == FLOW_OPENING) {
		fail(world, flow, "not_opened");
		return;
	}
	if (flow->phase == FLOW_ENDED || flow->phase == FLOW_FREE)
		return;
	world_log(world, "reset port=%u sender=%08x host=%08x idle_ms=%d",
		  flow->port, sender < 0 ? 0 : world->hosts[sender].id,
		  flow->host < 0 ? 0 : world->hosts[flow->host].id,
		  (int)(now_ms() - flow->used_ms));
	if (world->on_reset)
		world->on_reset(world, flow, sender);
	fail(world, flow, "reset");
}

static struct flow *find(struct world *world, uint16_t port)
{
	for (int i = 0; i < FLOW_COUNT_MAX; i++) {
		if (world->flows[i].phase != FLOW_FREE &&
		    world->flows[i].port == port)
			return &world->flows[i];
	}
	return NULL;
}

static int host_at(const struct world *world, const struct sockaddr_in *from)
{
	for (int i = 0; i < world->host_count; i++) {
		if (world->hosts[i].address == ntohl(from->sin_addr.s_addr))
			return i;
	}
	return -1;
}

static void handle_packet(struct world *world, const struct packet *packet,
			  int sender)
{
	struct flow *flow = find(world, packet->to_port);
	int32_t distance;

	if (!flow)
		return;
	distance = (int32_t)(packet->sequence - flow->expected_sequence);
	if (packet->flags & PACKET_RST) {
		if (packet->sum != 0 && packet_is_genuine(packet))
			flow->echo = packet->echo;
		if (flow->phase == FLOW_OPENING ||
		    (distance <= RESET_WINDOW_BYTES &&
		     distance >= -RESET_WINDOW_BYTES))
			handle_reset(world, flow, sender);
		return;
	}
	if (!packet_is_genuine(packet))
		return;
	/* PROTOCOL.md: the last echo that was received on the flow. */
	if (flow->phase != FLOW_OPENING && flow->echo != packet->echo)
		world_log(world, "echo port=%u echo=%08x was=%08x flags=%u",
			  flow->port, packet->echo, flow->echo, packet->flags);
	flow->echo = packet->echo;
	if (packet->flags & PACKET_SYN)
		handle_opening_reply(world, flow, packet);
	else if (flow->phase == FLOW_REQUESTING && packet->length > 0)
		handle_response(world, flow, packet);
	else if (flow->phase == FLOW_IDLE && packet->length > 0)
		send_packet(world, flow, PACKET_ACK, NULL, 0);
}

/* Reads what has arrived for the callers. */
void flow_receive(struct world *world)
{
	uint8_t bytes[DATAGRAM_BYTES_MAX];
	struct packet packet;
	struct sockaddr_in from = {.sin_family = AF_INET};
	socklen_t from_length = sizeof(from);
	ssize_t length;

	while ((length = recvfrom(world->caller_socket, bytes, sizeof(bytes),
				  MSG_DONTWAIT, (struct sockaddr *)&from,
				  &from_length)) > 0) {
		if (packet_read(&packet, bytes, (uint32_t)length))
			handle_packet(world, &packet, host_at(world, &from));
		from_length = sizeof(from);
	}
}

static void tick_opening(struct world *world, struct flow *flow)
{
	static const int64_t copies_ms[] = {COPY_1_MS, COPY_2_MS};
	int64_t age_ms = now_ms() - flow->syn_ms;

	if (age_ms >= OPENING_MS) {
		fail(world, flow, "not_answered");
		return;
	}
	if (flow->copy_count == 2 || age_ms < copies_ms[flow->copy_count])
		return;
	flow->copy_count++;
	flow->copies_ms[flow->copy_count] = now_ms();
	send_packet(world, flow, PACKET_SYN, NULL, 0);
}

static void tick_requesting(struct world *world, struct flow *flow)
{
	if (now_ms() - flow->sent_ms >= DEADLINE_MS) {
		fail(world, flow, "deadline");
		return;
	}
	if (now_ms() < flow->next_ms)
		return;
	flow->resend_interval_ms = flow->resend_interval_ms * 2 < RESEND_MAX_MS
					   ? flow->resend_interval_ms * 2
					   : RESEND_MAX_MS;
	flow->next_ms = now_ms() + flow->resend_interval_ms;
	send_request(world, flow);
}

/* Sends what is due on a flow. */
void flow_tick(struct world *world, struct flow *flow)
{
	if (flow->phase == FLOW_OPENING)
		tick_opening(world, flow);
	else if (flow->phase == FLOW_REQUESTING)
		tick_requesting(world, flow);
	else if (flow->phase == FLOW_IDLE && now_ms() >= flow->next_ms)
		flow_request(world, flow);
}
