#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define HOST_COUNT_MAX 64
#define NODE_COUNT_MAX 16
#define FLOW_COUNT_MAX 4096
#define HOST_FLOW_COUNT_MAX 1024
#define HEADER_BYTES 34
#define HOST_ID_BYTES 8
#define DATA_BYTES_MAX 1200
#define DATAGRAM_BYTES_MAX (HOST_ID_BYTES + HEADER_BYTES + DATA_BYTES_MAX)
#define PATH_BYTES_MAX 512

enum packet_flag {
	PACKET_SYN = 2,
	PACKET_BOUNCED = 8,
	PACKET_RST = 16,
	PACKET_ACK = 64,
	PACKET_FIN = 128,
};

/* Addresses and ports are numbers in host byte order. */
struct packet {
	uint8_t flags;
	uint32_t echo;
	uint16_t length;
	uint32_t to;
	uint16_t from_port;
	uint16_t to_port;
	uint32_t from;
	uint32_t sum;
	uint32_t sequence;
	uint32_t acknowledged;
	uint8_t data[DATA_BYTES_MAX];
};

/* A flow at a host; next_sequence is the first byte not sent yet. */
struct host_flow {
	bool is_used;
	bool is_open;
	bool is_response_sent;
	bool is_running;
	uint16_t port;
	uint32_t service_address;
	uint16_t service_port;
	uint32_t echo;
	uint32_t opening_sequence;
	uint32_t first_sequence;
	uint32_t next_sequence;
	uint32_t expected_sequence;
	uint32_t request;
	uint32_t response_bytes;
	int64_t due_ms;
	int64_t resend_ms;
	uint32_t resend_interval_ms;
	uint32_t resend_count;
	uint32_t copy_number;
};

struct host {
	uint32_t id;
	uint32_t address;
	int service;
	int zone;
	int socket;
	bool is_dark;
	int64_t dark_since_ms;
	int64_t born_ms;
	int64_t beat_ms;
	uint32_t sequence;
	bool is_listed;
	struct host_flow flows[HOST_FLOW_COUNT_MAX];
};

enum flow_phase {
	FLOW_FREE,
	FLOW_OPENING,
	FLOW_REQUESTING,
	FLOW_IDLE,
	FLOW_ENDED,
};

/* A caller's flow; host is the one at which it opened, -1 before that. */
struct flow {
	enum flow_phase phase;
	uint16_t port;
	int zone;
	int route;
	int host;
	uint32_t echo;
	uint32_t first_sequence;
	uint32_t next_sequence;
	uint32_t expected_sequence;
	uint32_t request;
	uint32_t request_bytes;
	uint32_t copy_count;
	uint32_t requests_left;
	int64_t opened_ms;
	int64_t syn_ms;
	int64_t copies_ms[3];
	int64_t used_ms;
	int64_t next_ms;
	int64_t sent_ms;
	uint32_t resend_interval_ms;
};

struct node {
	char name[32];
	char settings[PATH_BYTES_MAX];
	uint32_t address;
	int zone;
	pid_t pid;
	bool may_restart;
	int64_t ended_ms;
	bool is_in_rotation;
	int miss_count;
};

struct world {
	uint32_t net;
	uint16_t port;
	const char *daemon;
	const char *folder;
	FILE *record;
	int64_t start_ms;
	uint64_t random;
	uint32_t loss_ppm;
	bool has_trouble;
	bool is_broken;
	int caller_socket;
	uint32_t work_min_ms;
	uint32_t work_max_ms;
	uint32_t next_request;
	uint16_t next_port;
	int64_t asked_ms;
	struct node nodes[NODE_COUNT_MAX];
	int node_count;
	struct host hosts[HOST_COUNT_MAX];
	int host_count;
	struct flow flows[FLOW_COUNT_MAX];
	uint32_t answered_count;
	uint32_t failed_count;
	uint32_t run_count;
	uint32_t misdirected_count;
	/* Called when a flow opens and when an open flow is reset. */
	void (*on_open)(struct world *world, struct flow *flow, int host);
	void (*on_reset)(struct world *world, struct flow *flow, int sender);
};

/* Values of on_reset's sender other than the number of a host. */
#define SENDER_SYSTEM (-1)

int64_t now_ms(void);
int64_t world_ms(const struct world *world);
uint32_t world_random(struct world *world, uint32_t bound);
void world_log(struct world *world, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
uint32_t world_address(const struct world *world, int group, int number);
struct sockaddr_in world_endpoint(uint32_t address, uint16_t port);
int world_udp(uint32_t address, uint16_t port);
void world_run(struct world *world, int64_t until_ms, void *context,
	       void (*tick)(struct world *world, void *context));
bool world_open(struct world *world, const char *daemon, const char *folder,
		uint16_t port, int net);
int world_close(struct world *world, const char *rule);

uint32_t packet_write(uint8_t *bytes, struct packet *packet);
bool packet_read(struct packet *packet, const uint8_t *bytes, uint32_t length);
bool packet_is_genuine(const struct packet *packet);

int host_add(struct world *world, uint32_t id, int service, int zone);
void host_receive(struct world *world, int number);
void host_tick(struct world *world, int number);
void host_crash(struct world *world, int number);
void host_return(struct world *world, int number);
int host_of_sequence(struct world *world, uint16_t port, uint32_t sequence);
uint32_t host_copy_number(struct world *world, int number, uint16_t port);

int flow_open(struct world *world, int zone, int route, uint32_t requests);
void flow_request(struct world *world, struct flow *flow);
void flow_receive(struct world *world);
void flow_tick(struct world *world, struct flow *flow);

void node_add(struct world *world, const char *name, int zone);
bool node_start(struct world *world, struct node *node);
bool nodes_wait_ready(struct world *world, int64_t timeout_ms);
void node_signal(struct world *world, int number, int signal_number,
		 bool may_restart);
void nodes_tick(struct world *world);
void nodes_stop(struct world *world);
const struct node *router_pick(struct world *world, const struct flow *flow);

bool store_wait(struct world *world);
bool store_put(struct world *world, const char *key, const char *value);
bool store_remove(struct world *world, const char *key);
bool store_put_config(struct world *world, uint32_t version,
		      const int *service_of_route, const char *const *kinds,
		      int route_count);
bool store_put_back_ends(struct world *world, uint32_t version, int count);

#endif
