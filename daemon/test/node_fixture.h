#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

#include <check.h>
#include <daemon/settings.h>
#include <daemon/shallotd.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>
#include <wire/sock_addr.h>

/* A node in this process, on free ports of loopback. */
struct node_fixture {
	char *directory;
	struct settings *settings;
	struct shallotd *daemon;
};

/* Returns a port that was free a moment ago. */
static inline uint16_t free_port(int type)
{
	struct endpoint endpoint;
	struct sockaddr_storage storage;
	socklen_t length;
	int fd = socket(AF_INET, type, 0);

	endpoint_parse(&endpoint, "127.0.0.1:1");
	endpoint.port = 0;
	length = sock_addr_from_endpoint(&storage, &endpoint);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&storage, length), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&storage, &length),
			 0);
	sock_addr_to_endpoint(&endpoint, &storage);
	close(fd);
	return endpoint.port;
}

static inline char *node_fixture_path(const struct node_fixture *fixture,
				      const char *name)
{
	return g_build_filename(fixture->directory, name, NULL);
}

static inline void node_fixture_write(const struct node_fixture *fixture,
				      const char *name, const char *text)
{
	char *path = node_fixture_path(fixture, name);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static inline void node_fixture_remove(const struct node_fixture *fixture,
				       const char *name)
{
	char *path = node_fixture_path(fixture, name);

	g_unlink(path);
	g_free(path);
}

/* Starts a node with the rules; more holds further sections of settings. */
static inline void node_fixture_start(struct node_fixture *fixture,
				      const char *rules, const char *more)
{
	GError *error = NULL;
	char *path;
	char *text;

	signal(SIGPIPE, SIG_IGN);
	fixture->directory = g_dir_make_tmp("node_XXXXXX", NULL);
	node_fixture_write(fixture, "rules", rules);
	text = g_strdup_printf(
		"node: {name: entry-1, zone: north-a, region: north}\n"
		"listen:\n"
		"  packets: 127.0.0.1:%u\n"
		"  control: 127.0.0.1:%u\n"
		"  requests: 127.0.0.1:%u\n"
		"  admin: 127.0.0.1:%u\n"
		"rules: {file: %s/rules}\n%s",
		free_port(SOCK_DGRAM), free_port(SOCK_DGRAM),
		free_port(SOCK_STREAM), free_port(SOCK_STREAM),
		fixture->directory, more);
	node_fixture_write(fixture, "settings", text);
	g_free(text);
	path = node_fixture_path(fixture, "settings");
	fixture->settings = settings_read(path, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	g_free(path);
	fixture->daemon = shallotd_new(fixture->settings, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
}

/* Stops the node without a drain and removes its files. */
static inline void node_fixture_stop(struct node_fixture *fixture)
{
	shallotd_free(fixture->daemon);
	settings_free(fixture->settings);
	node_fixture_remove(fixture, "rules");
	node_fixture_remove(fixture, "settings");
	g_rmdir(fixture->directory);
	g_free(fixture->directory);
}

#endif
