#include "world.h"

#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define TICK_MS 5
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define CALLER_GROUP 200

/* Returns the steady clock. */
int64_t now_ms(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Returns the time since the start of the run. */
int64_t world_ms(const struct world *world)
{
	return now_ms() - world->start_ms;
}

/* Returns a random number below bound, by the generator xorshift64*. */
uint32_t world_random(struct world *world, uint32_t bound)
{
	world->random ^= world->random >> 12;
	world->random ^= world->random << 25;
	world->random ^= world->random >> 27;
	return (uint32_t)((world->random * 0x2545F4914F6CDD1DULL) >> 32) %
	       bound;
}

/* Writes a line with the time to the record. */
void world_log(struct world *world, const char *format, ...)
{
	va_list arguments;

	(void)fprintf(world->record, "%7d ", (int)world_ms(world));
	va_start(arguments, format);
	(void)vfprintf(world->record, format, arguments);
	va_end(arguments);
	(void)fputc('\n', world->record);
}

/* Returns a loopback address of this run. */
uint32_t world_address(const struct world *world, int group, int number)
{
	return world->net | (uint32_t)group << 8 | (uint32_t)number;
}

/* Makes a socket address of numbers in host byte order. */
struct sockaddr_in world_endpoint(uint32_t address, uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(address),
		.sin_port = htons(port),
	};
}

/* Opens a UDP socket; ends the program with 2 if the address is taken. */
int world_udp(uint32_t address, uint16_t port)
{
	struct sockaddr_in endpoint = world_endpoint(address, port);
	int bytes = 4 * 1024 * 1024;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&endpoint, sizeof(endpoint)) == 0)
		return fd;
	(void)fprintf(stderr, "cannot bind a UDP socket\n");
	exit(2);
}

static void receive(struct world *world)
{
	struct pollfd fds[HOST_COUNT_MAX + 1];
	int count = world->host_count;

	for (int i = 0; i < count; i++)
		fds[i] = (struct pollfd){.fd = world->hosts[i].socket,
					 .events = POLLIN};
	fds[count] =
		(struct pollfd){.fd = world->caller_socket, .events = POLLIN};
	if (poll(fds, (nfds_t)count + 1, 1) <= 0)
		return;
	for (int i = 0; i < count; i++) {
		if (fds[i].revents)
			host_receive(world, i);
	}
	if (fds[count].revents)
		flow_receive(world);
}

/*
 * Lets callers, hosts, the router and the case's own tick act until a time of
 * the run.
 */
void world_run(struct world *world, int64_t until_ms, void *context,
	       void (*tick)(struct world *world, void *context))
{
	int64_t ticked_ms = 0;

	while (world_ms(world) < until_ms) {
		receive(world);
		if (now_ms() - ticked_ms < TICK_MS)
			continue;
		ticked_ms = now_ms();
		nodes_tick(world);
		for (int i = 0; i < world->host_count; i++)
			host_tick(world, i);
		for (int i = 0; i < FLOW_COUNT_MAX; i++)
			flow_tick(world, &world->flows[i]);
		if (tick)
			tick(world, context);
	}
}

/* Opens the record and the callers' socket, and waits for the store. */
bool world_open(struct world *world, const char *daemon, const char *folder,
		uint16_t port, int net)
{
	const char *trouble = getenv("TROUBLE");
	const char *seed = getenv("SEED");
	char path[PATH_BYTES_MAX];

	world->net = 127U << 24 | (uint32_t)net << 16;
	world->port = port;
	world->daemon = daemon;
	world->folder = folder;
	world->start_ms = now_ms();
	world->has_trouble = !trouble || strcmp(trouble, "0") != 0;
	world->random =
		88172645463325252ULL +
		(seed ? strtoull(seed, NULL, 10) : (uint64_t)time(NULL) * 7919);
	world->work_min_ms = 40;
	world->work_max_ms = 70;
	(void)signal(SIGPIPE, SIG_IGN);
	(void)snprintf(path, sizeof(path), "%s/record.txt", folder);
	world->record = fopen(path, "we");
	if (!world->record)
		return false;
	world->caller_socket =
		world_udp(world_address(world, CALLER_GROUP, 1), port);
	world_log(world, "trouble=%d", world->has_trouble);
	return store_wait(world);
}

/* Ends all nodes and the record. Returns the exit code of the case. */
int world_close(struct world *world, const char *rule)
{
	nodes_stop(world);
	world_log(world,
		  "result rule=%s broken=%s answered=%u run=%u failed=%u "
		  "misdirected=%u",
		  rule, world->is_broken ? "yes" : "no", world->answered_count,
		  world->run_count, world->failed_count,
		  world->misdirected_count);
	(void)fclose(world->record);
	return world->is_broken ? 1 : 0;
}
