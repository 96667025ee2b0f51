#ifndef CONTROL_FIXTURE_H
#define CONTROL_FIXTURE_H

#include <daemon/control_message.h>
#include <daemon/control_task.h>
#include <daemon/metrics_message.h>
#include <daemon/nodes_message.h>
#include <fakes/test_main.h>
#include <glib/gstdio.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <task/log.h>
#include <unistd.h>
#include <wire/replay_guard.h>
#include <wire/rpc_codec.h>
#include <wire/sock_addr.h>

#define POLL_INTERVAL_US 1000
#define POLL_COUNT_MAX 30000
#define PROBE_INTERVAL_MS 100
/* Contents of key files: a key id and the key. */
#define KEYS                                                                   \
	"1 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n"
#define OTHER_KEYS                                                             \
	"1 fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210\n"
#define NEW_KEYS                                                               \
	"2 fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210\n"

/*
 * A task that records the messages that the control task posts to it. lock
 * protects the members after it.
 */
struct receiver {
	struct task *task;
	pthread_mutex_t lock;
	uint32_t call_count;
	uint32_t last_length_bytes;
	uint8_t last_byte;
	uint32_t serving_node_count;
	uint64_t request_id;
	char *metrics;
};

/* A control task with its own settings, key file and receiver. */
struct member_node {
	char *key_path;
	struct settings settings;
	struct control_task *control;
	struct receiver receiver;
};

static inline void record_call(struct receiver *receiver,
			       struct message *message)
{
	const struct control_message *call = (struct control_message *)message;

	receiver->call_count++;
	receiver->last_length_bytes = call->length_bytes;
	receiver->last_byte = call->bytes[call->length_bytes - 1];
}

static inline void record_view(struct receiver *receiver,
			       struct message *message)
{
	struct node_view *view = nodes_message_take(message);

	receiver->serving_node_count = 0;
	for (uint32_t i = 0; i < node_view_count(view); i++)
		receiver->serving_node_count +=
			node_view_at(view, i)->state == NODE_SERVING;
	node_view_free(view);
}

static inline void record_metrics(struct receiver *receiver,
				  struct message *message)
{
	const struct metrics_reply *reply = (struct metrics_reply *)message;

	g_free(receiver->metrics);
	receiver->metrics = g_strdup(reply->text->str);
	receiver->request_id = reply->request_id;
}

static inline void handle(void *context, struct message *message)
{
	struct receiver *receiver = context;

	pthread_mutex_lock(&receiver->lock);
	if (message->type == &control_in_type)
		record_call(receiver, message);
	else if (message->type == &nodes_message_type)
		record_view(receiver, message);
	else if (message->type == &metrics_reply_type)
		record_metrics(receiver, message);
	pthread_mutex_unlock(&receiver->lock);
	message_free(message);
}

/* Returns a loopback endpoint whose port was free when it was looked up. */
static inline struct endpoint unused_endpoint(void)
{
	struct endpoint endpoint = {.addr = ip_addr_from_v4(0x7f000001)};
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, &endpoint);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&storage, length), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&storage, &length),
			 0);
	sock_addr_to_endpoint(&endpoint, &storage);
	close(fd);
	return endpoint;
}

static inline void write_keys(const char *path, const char *text)
{
	ck_assert(g_file_set_contents_full(
		path, text, -1, G_FILE_SET_CONTENTS_CONSISTENT, 0600, NULL));
}

static inline void node_start(struct member_node *node, const char *keys,
			      const struct member_node *seed)
{
	struct task_options options = {.name = "receiver",
				       .mailbox_capacity = 1024,
				       .context = &node->receiver,
				       .handle = handle};
	char text[ENDPOINT_TEXT_BYTES];
	GError *error = NULL;

	memset(node, 0, sizeof(*node));
	pthread_mutex_init(&node->receiver.lock, NULL);
	node->key_path =
		g_strdup_printf("%s/control_test_%d_%p", g_get_tmp_dir(),
				getpid(), (void *)node);
	write_keys(node->key_path, keys);
	node->settings = (struct settings){
		.zone = "zone-a",
		.region = "region",
		.listen_control = unused_endpoint(),
		.members_key_file = node->key_path,
		.members_interval_ms = PROBE_INTERVAL_MS,
		.members_bytes_per_s = 1000000,
		.log_level = LOG_LEVEL_ERROR,
		.log_rate_per_s = 10,
	};
	if (seed)
		node->settings.members_seeds = g_strdup(
			endpoint_format(&seed->settings.listen_control, text));
	node->receiver.task = task_new(&options, &error);
	ck_assert(task_start(node->receiver.task, &error));
	node->control = control_task_new(&node->settings, &error);
	control_task_route(node->control, PROCEDURE_FLOWS_FIRST,
			   node->receiver.task);
	control_task_watch(node->control, node->receiver.task);
	ck_assert_msg(task_start(control_task_task(node->control), &error),
		      "%s", error ? error->message : "");
}

static inline void node_free(struct member_node *node)
{
	task_stop(node->receiver.task);
	control_task_free(node->control);
	task_free(node->receiver.task);
	g_unlink(node->key_path);
	g_free(node->key_path);
	g_free(node->settings.members_seeds);
	g_free(node->receiver.metrics);
	pthread_mutex_destroy(&node->receiver.lock);
}

/*
 * Waits until a count of the receiver has the wanted value; returns false after
 * POLL_COUNT_MAX polls.
 */
static inline bool await_count(struct receiver *receiver, const uint32_t *count,
			       uint32_t wanted)
{
	bool is_reached = false;

	for (int i = 0; i < POLL_COUNT_MAX && !is_reached; i++) {
		pthread_mutex_lock(&receiver->lock);
		is_reached = *count == wanted;
		pthread_mutex_unlock(&receiver->lock);
		if (!is_reached)
			g_usleep(POLL_INTERVAL_US);
	}
	return is_reached;
}

/* Requests the metrics of the control task and returns one counter of them. */
static inline uint64_t read_counter(struct member_node *node, const char *name)
{
	static uint64_t request_id;
	struct receiver *receiver = &node->receiver;
	uint64_t value = 0;
	const char *line;
	bool is_read = false;

	request_id++;
	task_post(control_task_task(node->control),
		  metrics_request_new(receiver->task, request_id));
	while (!is_read) {
		g_usleep(POLL_INTERVAL_US);
		pthread_mutex_lock(&receiver->lock);
		is_read = receiver->request_id == request_id;
		if (is_read) {
			line = strstr(receiver->metrics, name);
			ck_assert_msg(line != NULL, "no counter %s", name);
			value = g_ascii_strtoull(line + strlen(name), NULL, 10);
		}
		pthread_mutex_unlock(&receiver->lock);
	}
	return value;
}

/* Waits until a counter is above 0; returns false if it stays 0. */
static inline bool await_counter(struct member_node *node, const char *name)
{
	for (int i = 0; i < POLL_COUNT_MAX / 10; i++) {
		if (read_counter(node, name) > 0)
			return true;
		g_usleep(10 * POLL_INTERVAL_US);
	}
	return false;
}

#endif
