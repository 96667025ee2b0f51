#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

#include <check.h>
#include <daemon/settings.h>
#include <daemon/shallotd.h>
#include <fakes/loopback.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>
#include <wire/sock_addr.h>

/* A node in this process that listens on free loopback ports. */
struct node_fixture {
	char *directory;
	struct settings *settings;
	struct shallotd *daemon;
};

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

static const char *const node_listen_keys[] = {"packets", "control", "requests",
					       "admin"};

static inline char *node_fixture_settings(const struct node_fixture *fixture,
					  const char *extra_settings)
{
	GString *text = g_string_new(
		"node: {name: entry-1, zone: north-a, region: north}\n"
		"listen:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(node_listen_keys); i++) {
		struct endpoint endpoint = loopback_free_endpoint();
		char address[ENDPOINT_TEXT_BYTES];

		g_string_append_printf(text, "  %s: %s\n", node_listen_keys[i],
				       endpoint_format(&endpoint, address));
	}
	g_string_append_printf(text, "rules: {file: %s/rules}\n%s",
			       fixture->directory, extra_settings);
	return g_string_free(text, FALSE);
}

/*
 * Starts a node with the given rules. extra_settings is appended to its
 * settings file.
 */
static inline void node_fixture_start(struct node_fixture *fixture,
				      const char *rules,
				      const char *extra_settings)
{
	GError *error = NULL;
	char *path;
	char *text;

	signal(SIGPIPE, SIG_IGN);
	fixture->directory = g_dir_make_tmp("node_XXXXXX", NULL);
	node_fixture_write(fixture, "rules", rules);
	text = node_fixture_settings(fixture, extra_settings);
	node_fixture_write(fixture, "settings", text);
	g_free(text);
	path = node_fixture_path(fixture, "settings");
	fixture->settings = settings_read(path, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
	g_free(path);
	fixture->daemon = shallotd_new(fixture->settings, &error);
	ck_assert_msg(!error, "%s", error ? error->message : "");
}

/* Stops the node without draining it and removes its files. */
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
