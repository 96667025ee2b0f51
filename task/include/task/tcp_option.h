#ifndef TASK_TCP_OPTION_H
#define TASK_TCP_OPTION_H

#include <event2/util.h>

/* TCP socket options that libevent does not offer. */
void tcp_option_set_no_delay(evutil_socket_t fd);
void tcp_option_detect_dead_peer(evutil_socket_t fd);

#endif
