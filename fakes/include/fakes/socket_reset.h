#ifndef FAKES_SOCKET_RESET_H
#define FAKES_SOCKET_RESET_H

#include <sys/socket.h>

/*
 * Makes closing a TCP socket reset its connection (SO_LINGER with a timeout of
 * 0).
 */
static inline void socket_reset_on_close(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

#endif
