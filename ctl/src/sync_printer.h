#ifndef SYNC_PRINTER_H
#define SYNC_PRINTER_H

#include <core/rules_merge.h>

#include "fleet_status.h"

/*
 * Prints the verdict on each line of a rules file, and on how many nodes it is
 * in force. Prints a line again only if its verdict or that number changed.
 */
struct sync_printer;

struct sync_printer *sync_printer_new(const char *path, bool is_json);
void sync_printer_free(struct sync_printer *printer);
void sync_printer_print_outcomes(struct sync_printer *printer,
				 const struct rules_merge *merge);
bool sync_printer_print_status(struct sync_printer *printer,
			       const struct fleet_status *status);
uint32_t sync_printer_pending_count(const struct sync_printer *printer);

#endif
