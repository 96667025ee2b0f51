#ifndef SYNC_STATE_H
#define SYNC_STATE_H

#include <core/rules_base.h>

/* Reads and writes the file that keeps the merge base of one rules file. */
struct rules_base *sync_state_read(const char *path, GError **error);
bool sync_state_write(const char *path, const struct rules_base *base,
		      GError **error);

#endif
