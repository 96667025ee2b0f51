#ifndef WIRE_CONFIG_REPORT_CODEC_H
#define WIRE_CONFIG_REPORT_CODEC_H

#include <core/config_report.h>
#include <glib.h>

/* Reports of the nodes of one zone as JSON, the value of one store key. */
char *config_report_encode(const GArray *reports);
GArray *config_report_decode(const char *text, size_t length_bytes,
			     GError **error);

#endif
