#ifndef WIRE_ROSTER_CODEC_H
#define WIRE_ROSTER_CODEC_H

#include <core/roster.h>
#include <glib.h>

/* The roster of a region as JSON, the value of one store key. */
char *roster_encode(const struct roster *roster);
bool roster_decode(struct roster *roster, const char *text, size_t length_bytes,
		   GError **error);

#endif
