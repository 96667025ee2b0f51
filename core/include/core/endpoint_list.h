#ifndef CORE_ENDPOINT_LIST_H
#define CORE_ENDPOINT_LIST_H

#include <core/endpoint.h>
#include <glib.h>

GArray *endpoint_list_parse(const char *text);

#endif
