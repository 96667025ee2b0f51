#ifndef READY_PROBE_H
#define READY_PROBE_H

#include <core/endpoint.h>

bool ready_probe(const struct endpoint *admin);

#endif
