#ifndef FAKES_LOOPBACK_H
#define FAKES_LOOPBACK_H

#include <core/endpoint.h>

struct ip_addr loopback_process_addr(void);
struct ip_addr loopback_second_addr(void);
struct endpoint loopback_free_endpoint(void);

#endif
