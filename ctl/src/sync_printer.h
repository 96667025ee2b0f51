#ifndef SYNC_PRINTER_H
#define SYNC_PRINTER_H

#include <core/rules_merge.h>

#include "fleet_status.h"

/* Prints what became of each line, and only what is new since last time. */
struct sync_printer;

struct sync_printer *sync_printer_new(const char *path, bool is_json);
void sync_printer_free(struct sync_printer *printer);
void sync_printer_outcomes(struct sync_printer *printer,
			   const struct rules_merge *merge);
bool sync_printer_status(struct sync_printer *printer,
			 const struct fleet_status *status);
uint32_t sync_printer_waiting_count(const struct sync_printer *printer);

#endif
