#ifndef SYNC_STATE_H
#define SYNC_STATE_H

#include <core/rules_base.h>

/* Keeps the base of one rules file in a file beside it, across runs. */
struct rules_base *sync_state_read(const char *path, GError **error);
bool sync_state_write(const char *path, const struct rules_base *base,
		      GError **error);

#endif
