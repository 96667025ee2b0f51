/* Forwarding between two plain sockets through a proxy with injected faults. */
#include <arpa/inet.h>
#include <errno.h>
#include <fakes/loopback.h>
#include <fakes/tcp_proxy.h>
#include <fakes/test_main.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <task/task.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define RECEIVE_TIMEOUT_MS 2000
#define NO_DATA_WAIT_MS 300
#define DELAY_MS 400
#define FAULT_SETTLE_US 100000
#define TEXT "hello"

/*
 * Whether bytes are forwarded in each direction during the fault, and their
 * minimum delay.
 */
static const struct {
	const char *name;
	struct tcp_proxy_fault fault;
	bool is_forwarded_to_server;
	bool is_forwarded_to_client;
	int64_t min_delay_ms;
} rows[] = {
	{"no-fault", {0, false, false, false}, true, true, 0},
	{"delay", {DELAY_MS, false, false, false}, true, true, DELAY_MS},
	{"cut-to-the-server", {0, true, false, false}, false, true, 0},
	{"cut-to-the-client", {0, false, true, false}, true, false, 0},
	{"silent", {0, true, true, false}, false, false, 0},
};

/*
 * The server's listening socket, the proxy in front of it, and the sockets of a
 * connection through it.
 */
struct fixture {
	int listener_fd;
	int client_fd;
	int server_fd;
	struct tcp_proxy *proxy;
};

static int open_socket(const struct endpoint *endpoint, bool is_server)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, endpoint);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_ge(fd, 0);
	if (!is_server) {
		ck_assert_int_eq(
			connect(fd, (struct sockaddr *)&storage, length), 0);
		return fd;
	}
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&storage, length), 0);
	ck_assert_int_eq(listen(fd, 4), 0);
	return fd;
}

static void setup(struct fixture *fixture)
{
	struct tcp_proxy_options options = {
		.listen = loopback_free_endpoint(),
		.server = loopback_free_endpoint(),
	};

	fixture->listener_fd = open_socket(&options.server, true);
	fixture->proxy = tcp_proxy_new(&options, NULL);
	ck_assert_ptr_nonnull(fixture->proxy);
	fixture->client_fd = open_socket(&options.listen, false);
	fixture->server_fd = accept(fixture->listener_fd, NULL, NULL);
	ck_assert_int_ge(fixture->server_fd, 0);
}

static void teardown(struct fixture *fixture)
{
	tcp_proxy_free(fixture->proxy);
	close(fixture->client_fd);
	close(fixture->server_fd);
	close(fixture->listener_fd);
}

static ssize_t receive(int fd, int timeout_ms)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};
	char bytes[sizeof(TEXT)];

	if (poll(&ready, 1, timeout_ms) != 1)
		return -1;
	return recv(fd, bytes, sizeof(bytes), 0);
}

static void check_direction(int from_fd, int to_fd, bool is_forwarded,
			    int64_t min_delay_ms)
{
	int64_t sent_ms = task_now_ms();
	ssize_t expected = is_forwarded ? (ssize_t)strlen(TEXT) : -1;

	ck_assert_int_eq(send(from_fd, TEXT, strlen(TEXT), 0), strlen(TEXT));
	ck_assert_int_eq(receive(to_fd, is_forwarded ? RECEIVE_TIMEOUT_MS
						     : NO_DATA_WAIT_MS),
			 expected);
	ck_assert_int_ge(task_now_ms() - sent_ms, min_delay_ms);
}

START_TEST(test_fault)
{
	static const struct tcp_proxy_fault none;
	struct fixture fixture;

	test_row("tcp_proxy", rows[_i].name);
	setup(&fixture);
	tcp_proxy_set_fault(fixture.proxy, &rows[_i].fault);
	g_usleep(FAULT_SETTLE_US);
	check_direction(fixture.client_fd, fixture.server_fd,
			rows[_i].is_forwarded_to_server, rows[_i].min_delay_ms);
	check_direction(fixture.server_fd, fixture.client_fd,
			rows[_i].is_forwarded_to_client, rows[_i].min_delay_ms);
	tcp_proxy_set_fault(fixture.proxy, &none);
	if (!rows[_i].is_forwarded_to_server)
		ck_assert_int_eq(receive(fixture.server_fd, RECEIVE_TIMEOUT_MS),
				 strlen(TEXT));
	if (!rows[_i].is_forwarded_to_client)
		ck_assert_int_eq(receive(fixture.client_fd, RECEIVE_TIMEOUT_MS),
				 strlen(TEXT));
	teardown(&fixture);
}
END_TEST

START_TEST(test_reset)
{
	static const struct tcp_proxy_fault reset = {.is_reset = true};
	struct fixture fixture;

	test_row("tcp_proxy", "reset");
	setup(&fixture);
	tcp_proxy_set_fault(fixture.proxy, &reset);
	ck_assert_int_eq(receive(fixture.client_fd, RECEIVE_TIMEOUT_MS), -1);
	ck_assert_int_eq(errno, ECONNRESET);
	teardown(&fixture);
}
END_TEST

/*
 * Data whose sender closes right after sending it must arrive complete,
 * followed by end of file.
 */
START_TEST(test_end_behind_data)
{
	struct fixture fixture;

	test_row("tcp_proxy", "end-behind-data");
	setup(&fixture);
	ck_assert_int_eq(send(fixture.server_fd, TEXT, strlen(TEXT), 0),
			 strlen(TEXT));
	shutdown(fixture.server_fd, SHUT_RDWR);
	ck_assert_int_eq(receive(fixture.client_fd, RECEIVE_TIMEOUT_MS),
			 strlen(TEXT));
	ck_assert_int_eq(receive(fixture.client_fd, RECEIVE_TIMEOUT_MS), 0);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("tcp_proxy");
	TCase *tcase = tcase_create("tcp_proxy");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_fault, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_reset);
	tcase_add_test(tcase, test_end_behind_data);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
