#ifndef ROUTE_PRINTER_H
#define ROUTE_PRINTER_H

#include <jansson.h>
#include <stdio.h>

/* Prints a node's explanation of a route as text. */
void route_printer_print(FILE *out, const json_t *explanation);

#endif
