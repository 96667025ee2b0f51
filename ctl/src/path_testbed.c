#include "path_testbed.h"

#include <daemon/settings.h>
#include <daemon/shallotd.h>
#include <fakes/fake_target.h>
#include <fakes/loopback.h>
#include <fakes/script_target.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define DOWNLOAD_SERVICE "catalogue"
#define SLOT_COUNT 1000
#define BUFFER_BYTES 65536
#define BYTES_PER_KIB 1024

struct path_testbed {
	struct fake_target *echo_target;
	struct script_target *large_target;
	struct settings *settings;
	struct shallotd *node;
	char *directory;
};

static const struct script_step large_script[][SCRIPT_STEP_COUNT_MAX] = {
	{{SCRIPT_COUNT_EXECUTION, NULL, 0},
	 {SCRIPT_SEND,
	  "HTTP/1.1 200 OK\r\nContent-Length: " G_STRINGIFY(
		  PATH_TESTBED_DOWNLOAD_BYTES) "\r\n\r\n",
	  0},
	 {SCRIPT_SEND_BYTES, NULL, PATH_TESTBED_DOWNLOAD_BYTES}},
};

static const char *const listen_keys[] = {"packets", "control", "requests",
					  "admin"};

static char *file_path(const struct path_testbed *testbed, const char *name)
{
	return g_build_filename(testbed->directory, name, NULL);
}

static void write_file(const struct path_testbed *testbed, const char *name,
		       const char *text)
{
	char *path = file_path(testbed, name);
	GError *error = NULL;

	if (!g_file_set_contents(path, text, -1, &error))
		g_error("%s", error->message);
	g_free(path);
}

static void write_rules(const struct path_testbed *testbed)
{
	char echo_text[ENDPOINT_TEXT_BYTES];
	char large_text[ENDPOINT_TEXT_BYTES];
	struct endpoint echo_endpoint =
		fake_target_endpoint(testbed->echo_target);
	struct endpoint large_endpoint =
		script_target_endpoint(testbed->large_target);
	char *text = g_strdup_printf(
		PATH_TESTBED_SERVICE " address=10.0.0.1:80 pool=%s*%u "
				     "protocol=http # bench\n" DOWNLOAD_SERVICE
				     " address=10.0.0.2:80 pool=%s*%u "
				     "protocol=http # bench\n",
		endpoint_format(&echo_endpoint, echo_text), SLOT_COUNT,
		endpoint_format(&large_endpoint, large_text), SLOT_COUNT);

	write_file(testbed, "rules", text);
	g_free(text);
}

static void write_settings(const struct path_testbed *testbed)
{
	GString *text = g_string_new("node: {name: bench, zone: z, region: r}\n"
				     "log: {level: error}\nlisten:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(listen_keys); i++) {
		struct endpoint endpoint = loopback_free_endpoint();
		char address[ENDPOINT_TEXT_BYTES];

		g_string_append_printf(text, "  %s: %s\n", listen_keys[i],
				       endpoint_format(&endpoint, address));
	}
	g_string_append_printf(text, "rules: {file: %s/rules}\n",
			       testbed->directory);
	write_file(testbed, "settings", text->str);
	g_string_free(text, TRUE);
}

static void start_node(struct path_testbed *testbed)
{
	GError *error = NULL;
	char *path = file_path(testbed, "settings");

	write_rules(testbed);
	write_settings(testbed);
	testbed->settings = settings_read(path, &error);
	if (testbed->settings)
		testbed->node = shallotd_new(testbed->settings, &error);
	if (!testbed->node)
		g_error("%s", error->message);
	g_free(path);
}

static void start_targets(struct path_testbed *testbed)
{
	struct fake_target_options echo_options = {.name = "echo"};
	struct script_target_options large_options = {
		.scripts = large_script,
		.script_count = 1,
	};
	GError *error = NULL;

	testbed->echo_target = fake_target_new(&echo_options, &error);
	if (testbed->echo_target)
		testbed->large_target =
			script_target_new(&large_options, &error);
	if (!testbed->large_target)
		g_error("%s", error->message);
}

/* Starts the targets and the node; aborts the process if that fails. */
struct path_testbed *path_testbed_new(void)
{
	struct path_testbed *testbed = g_new0(struct path_testbed, 1);

	signal(SIGPIPE, SIG_IGN);
	testbed->directory = g_dir_make_tmp("bench_path_XXXXXX", NULL);
	start_targets(testbed);
	start_node(testbed);
	return testbed;
}

static void remove_file(const struct path_testbed *testbed, const char *name)
{
	char *path = file_path(testbed, name);

	g_unlink(path);
	g_free(path);
}

/* Stops the node and the targets and removes the temporary files. */
void path_testbed_free(struct path_testbed *testbed)
{
	shallotd_free(testbed->node);
	settings_free(testbed->settings);
	fake_target_free(testbed->echo_target);
	script_target_free(testbed->large_target);
	remove_file(testbed, "rules");
	remove_file(testbed, "settings");
	g_rmdir(testbed->directory);
	g_free(testbed->directory);
	g_free(testbed);
}

/* Returns the address of the echo target. */
struct endpoint path_testbed_target(const struct path_testbed *testbed)
{
	return fake_target_endpoint(testbed->echo_target);
}

/* Returns the address on which the node accepts requests. */
struct endpoint path_testbed_node(const struct path_testbed *testbed)
{
	return testbed->settings->listen_requests;
}

static int connect_to_node(const struct path_testbed *testbed)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(
		&storage, &testbed->settings->listen_requests);
	int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&storage, length) < 0)
		g_error("cannot connect to the node");
	return fd;
}

/*
 * Downloads a large response through the node and discards it. Returns the
 * number of bytes received, headers included.
 */
uint64_t path_testbed_download(const struct path_testbed *testbed)
{
	static const char request[] =
		"GET /proof HTTP/1.1\r\nHost: " DOWNLOAD_SERVICE
		"\r\nConnection: close\r\n\r\n";
	int fd = connect_to_node(testbed);
	uint64_t received_bytes = 0;
	char *buffer = g_malloc(BUFFER_BYTES);
	ssize_t transferred_bytes;

	transferred_bytes = send(fd, request, strlen(request), 0);
	while (transferred_bytes > 0) {
		transferred_bytes = recv(fd, buffer, BUFFER_BYTES, 0);
		if (transferred_bytes > 0)
			received_bytes += (uint64_t)transferred_bytes;
	}
	g_free(buffer);
	close(fd);
	return received_bytes;
}

/* Returns the peak resident set size of this process (VmHWM). */
uint64_t path_testbed_peak_rss_bytes(void)
{
	char *text = NULL;
	const char *line;
	uint64_t peak_kib = 0;

	if (!g_file_get_contents("/proc/self/status", &text, NULL, NULL))
		return 0;
	line = strstr(text, "VmHWM:");
	if (line)
		peak_kib = g_ascii_strtoull(line + strlen("VmHWM:"), NULL, 10);
	g_free(text);
	return peak_kib * BYTES_PER_KIB;
}
