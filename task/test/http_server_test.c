/*
 * A server removes the events of a connection before it closes the socket. If
 * it removes them later, another thread may have received the same descriptor.
 */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <fakes/loopback.h>
#include <fakes/test_main.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <task/http_server.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define REQUEST "GET / HTTP/1.1\r\nHost: node\r\n"
#define RUN_COUNT 20

static atomic_uint closed_descriptor_count;

/* Replaces the C library's function to count calls with closed descriptors. */
int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event)
{
	long result = syscall(SYS_epoll_ctl, epfd, op, fd, event);

	if (result < 0 && errno == EBADF)
		atomic_fetch_add(&closed_descriptor_count, 1);
	return (int)result;
}

/* What the caller sends before it closes the connection, and who closes it. */
static const struct {
	const char *name;
	const char *text;
} rows[] = {
	{"connection closed by the server",
	 REQUEST "Connection: close\r\n\r\n"},
	{"connection closed by the caller", REQUEST "\r\n"},
	{"closed within a request", REQUEST},
	{"closed without a request", ""},
};

static void on_request(struct evhttp_request *request, void *context)
{
	evbuffer_add_printf(evhttp_request_get_output_buffer(request), "done");
	evhttp_send_reply(request, 200, NULL, NULL);
}

static void run_loop(struct event_base *base)
{
	for (int i = 0; i < RUN_COUNT; i++) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(100);
	}
}

START_TEST(test_close)
{
	struct endpoint endpoint = loopback_free_endpoint();
	struct event_base *base = event_base_new();
	struct evhttp *server = http_server_new(base);
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, &endpoint);
	char address[IP_ADDR_TEXT_BYTES];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	evhttp_set_gencb(server, on_request, NULL);
	ip_addr_format(&endpoint.addr, address);
	ck_assert_int_eq(evhttp_bind_socket(server, address, endpoint.port), 0);
	atomic_store(&closed_descriptor_count, 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&storage, length), 0);
	ck_assert_int_eq(send(fd, rows[_i].text, strlen(rows[_i].text), 0),
			 (int)strlen(rows[_i].text));
	run_loop(base);
	close(fd);
	run_loop(base);
	ck_assert_msg(atomic_load(&closed_descriptor_count) == 0,
		      "%s: %u calls with a closed descriptor", rows[_i].name,
		      atomic_load(&closed_descriptor_count));
	evhttp_free(server);
	event_base_free(base);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_server");
	TCase *tcase = tcase_create("http_server");

	tcase_add_loop_test(tcase, test_close, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
