#include "world.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

/* DEPLOY.md: a process that ends is started again after a short delay. */
#define RESTART_MS 500

/* PROTOCOL.md: the routers ask twice a second, two misses count. */
#define ASK_MS 500
#define MISS_COUNT 2
#define ANSWER_US 100000
#define NODE_GROUP 1

/* Adds a node whose settings file lies in the run's folder. */
void node_add(struct world *world, const char *name, int zone)
{
	struct node *node = &world->nodes[world->node_count++];

	(void)snprintf(node->name, sizeof(node->name), "%s", name);
	(void)snprintf(node->settings, sizeof(node->settings), "%s/%s.yaml",
		       world->folder, name);
	node->zone = zone;
	node->address = world_address(world, NODE_GROUP, world->node_count);
	node->pid = 0;
}

/* Starts a node as a process that ends with this one. */
bool node_start(struct world *world, struct node *node)
{
	char path[PATH_BYTES_MAX];
	pid_t parent = getpid();

	(void)snprintf(path, sizeof(path), "%s/%s.log", world->folder,
		       node->name);
	(void)fflush(world->record);
	node->pid = fork();
	if (node->pid != 0) {
		world_log(world, "start node=%s pid=%d", node->name,
			  (int)node->pid);
		return node->pid > 0;
	}
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent || !freopen(path, "a", stdout) ||
	    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
		_exit(2);
	execl(world->daemon, world->daemon, "--settings", node->settings,
	      (char *)NULL);
	_exit(2);
}

static bool ask(struct world *world, const struct node *node)
{
	static const char request[] =
		"GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
	struct sockaddr_in endpoint =
		world_endpoint(node->address, (uint16_t)(world->port + 1));
	struct timeval limit = {.tv_usec = ANSWER_US};
	char reply[64] = "";
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_ready;

	if (fd < 0)
		return false;
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	is_ready = connect(fd, (struct sockaddr *)&endpoint,
			   sizeof(endpoint)) == 0 &&
		   send(fd, request, sizeof(request) - 1, 0) > 0 &&
		   recv(fd, reply, sizeof(reply) - 1, 0) > 0 &&
		   strstr(reply, " 200 ") != NULL;
	(void)close(fd);
	return is_ready;
}

static void ask_all(struct world *world)
{
	for (int i = 0; i < world->node_count; i++) {
		struct node *node = &world->nodes[i];
		bool was_in_rotation = node->is_in_rotation;

		if (ask(world, node)) {
			node->is_in_rotation = true;
			node->miss_count = 0;
		} else if (++node->miss_count >= MISS_COUNT) {
			node->is_in_rotation = false;
		}
		if (node->is_in_rotation != was_in_rotation)
			world_log(world, "rotation node=%s in=%d", node->name,
				  node->is_in_rotation);
	}
}

/* Waits until all nodes are in rotation. */
bool nodes_wait_ready(struct world *world, int64_t timeout_ms)
{
	int64_t end_ms = now_ms() + timeout_ms;
	int count = 0;

	while (now_ms() < end_ms && count < world->node_count) {
		count = 0;
		ask_all(world);
		for (int i = 0; i < world->node_count; i++)
			count += world->nodes[i].is_in_rotation;
		(void)usleep(ANSWER_US);
	}
	return count == world->node_count;
}

/* Sends a signal to a node. */
void node_signal(struct world *world, int number, int signal_number,
		 bool may_restart)
{
	struct node *node = &world->nodes[number];

	if (node->pid <= 0)
		return;
	world_log(world, "signal node=%s signal=%d", node->name, signal_number);
	node->may_restart = may_restart;
	(void)kill(node->pid, signal_number);
}

static void reap(struct world *world, struct node *node)
{
	int status = 0;

	if (node->pid > 0 &&
	    waitpid(node->pid, &status, WNOHANG) == node->pid) {
		world_log(world, "ended node=%s status=%d", node->name, status);
		node->pid = 0;
		node->ended_ms = now_ms();
	}
	if (node->pid == 0 && node->may_restart &&
	    now_ms() - node->ended_ms >= RESTART_MS)
		(void)node_start(world, node);
}

/* Asks the nodes whether they are ready and restarts those that ended. */
void nodes_tick(struct world *world)
{
	for (int i = 0; i < world->node_count; i++)
		reap(world, &world->nodes[i]);
	if (now_ms() - world->asked_ms < ASK_MS)
		return;
	world->asked_ms = now_ms();
	ask_all(world);
}

/* Ends all nodes. */
void nodes_stop(struct world *world)
{
	for (int i = 0; i < world->node_count; i++) {
		struct node *node = &world->nodes[i];

		if (node->pid <= 0)
			continue;
		(void)kill(node->pid, SIGCONT);
		(void)kill(node->pid, SIGKILL);
		(void)waitpid(node->pid, NULL, 0);
		node->pid = 0;
	}
}

static uint32_t hash_of(const struct world *world, const struct flow *flow)
{
	uint32_t numbers[] = {world_address(world, 200, 1), flow->port,
			      world_address(world, 250, 1 + flow->route), 443};
	uint32_t hash = 2166136261U;

	for (uint32_t i = 0; i < 4; i++) {
		for (uint32_t j = 0; j < 4; j++)
			hash = (hash ^ (uint8_t)(numbers[i] >> (8 * j))) *
			       16777619U;
	}
	return hash ^ hash >> 15;
}

/*
 * Returns the node that the routers of a zone send a flow's packets to, by
 * "mod" over those in rotation; over all if fewer than half are.
 */
const struct node *router_pick(struct world *world, const struct flow *flow)
{
	const struct node *all[NODE_COUNT_MAX];
	const struct node *ready[NODE_COUNT_MAX];
	uint32_t all_count = 0;
	uint32_t ready_count = 0;

	for (int i = 0; i < world->node_count; i++) {
		if (world->nodes[i].zone != flow->zone)
			continue;
		all[all_count++] = &world->nodes[i];
		if (world->nodes[i].is_in_rotation)
			ready[ready_count++] = &world->nodes[i];
	}
	if (all_count == 0)
		return NULL;
	if (ready_count * 2 < all_count)
		return all[hash_of(world, flow) % all_count];
	return ready[hash_of(world, flow) % ready_count];
}
