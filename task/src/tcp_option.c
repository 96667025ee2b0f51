#include <task/tcp_option.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/*
 * Sends small segments at once (RFC 896 would hold them back until the peer
 * acknowledges, which a peer that delays acknowledgements does late). Ignored
 * where the socket does not know the option.
 */
void tcp_option_no_delay(evutil_socket_t fd)
{
	int is_on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &is_on, sizeof(is_on));
}

/*
 * Ends a connection whose peer has not acknowledged anything for about three
 * seconds: keep-alive probes find an idle one, the user timeout (RFC 5482)
 * one with bytes under way. Ignored where the socket does not know them.
 */
void tcp_option_detect_dead(evutil_socket_t fd)
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
