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
