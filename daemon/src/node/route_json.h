#ifndef ROUTE_JSON_H
#define ROUTE_JSON_H

#include <core/relay_route_explanation.h>

/* Encodes the explanation of a route as JSON. */
char *route_json_encode(const struct relay_route_explanation *explanation);
char *route_json_encode_error(const char *text);

#endif
