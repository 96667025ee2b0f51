#ifndef TASK_TCP_OPTION_H
#define TASK_TCP_OPTION_H

#include <event2/util.h>

/* Options of TCP sockets that libevent has no word for. */
void tcp_option_no_delay(evutil_socket_t fd);
void tcp_option_detect_dead(evutil_socket_t fd);

#endif
