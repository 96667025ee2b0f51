#include "soak_net.h"

#include <unistd.h>

#define LOOPBACK 127u
/* The process id selects the second octet and, in part, the third. */
#define NET_FIRST 2
#define NET_COUNT 96
#define GROUP_COUNT_MAX 8
#define SUBNET_COUNT 31
#define ADDRESSES_PER_ROLE 250

static const struct {
	uint8_t group;
	uint16_t port;
} roles[] = {
	[SOAK_NET_STORE] = {1, 2379},	   [SOAK_NET_NODE_PACKETS] = {2, 7000},
	[SOAK_NET_NODE_ADMIN] = {2, 7002}, [SOAK_NET_NODE_METRICS] = {2, 9464},
	[SOAK_NET_NODE_PEERS] = {2, 7100}, [SOAK_NET_NODE_STORE] = {3, 2379},
	[SOAK_NET_HOST] = {4, 9000},	   [SOAK_NET_CALLER] = {5, 7000},
};

/*
 * Returns the address and port for a role and index. Indices i and
 * i + ADDRESSES_PER_ROLE share an address; the port of the second is one
 * higher.
 */
struct endpoint soak_net_endpoint(enum soak_net_role role, uint32_t index)
{
	uint32_t process = (uint32_t)getpid();
	uint32_t net = NET_FIRST + process % NET_COUNT;
	uint32_t subnet = process / NET_COUNT % SUBNET_COUNT;
	uint32_t group = subnet * GROUP_COUNT_MAX + roles[role].group;
	uint32_t last_octet = 1 + index % ADDRESSES_PER_ROLE;
	uint32_t addr = LOOPBACK << 24 | net << 16 | group << 8 | last_octet;

	return (struct endpoint){
		.addr = ip_addr_from_v4(addr),
		.port = (uint16_t)(roles[role].port +
				   index / ADDRESSES_PER_ROLE),
	};
}
