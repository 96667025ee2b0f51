#include <task/tcp_option.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/*
 * Disables Nagle's algorithm (RFC 896), which would hold back small segments
 * until the peer acknowledges earlier data, which it may delay by up to 500 ms
 * (RFC 1122). Errors are ignored, as not every socket supports the option.
 */
void tcp_option_set_no_delay(evutil_socket_t fd)
{
	int is_on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &is_on, sizeof(is_on));
}

/*
 * Makes the kernel close a connection whose peer has not acknowledged anything
 * for about three seconds: keep-alive probes detect this on an idle connection,
 * the user timeout (RFC 5482) on one with unacknowledged data. Errors are
 * ignored, as not every socket supports the options.
 */
void tcp_option_detect_dead_peer(evutil_socket_t fd)
{
	int is_on = 1;
	int idle_s = 1;
	int interval_s = 1;
	int probe_count = 2;
	unsigned int user_timeout_ms = 3000;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &is_on, sizeof(is_on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count,
		   sizeof(probe_count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
}
